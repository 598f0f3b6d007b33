/**
 * Identifies what in a request may be the cause of a crash: its path, caller and body, its whole query, or one parameter of that.
 *
 * A caller that sends a request again may change a part of its query each time, such as a counter, while other callers send sound requests
 * that differ from it in another part alone. What the request always has, and sound ones do not, is known by its own key then.
 */
import { createHash } from "node:crypto";

/** 96 bits, like the fingerprint of a request. */
const keyBytes = 12;
/** Parameters that are watched one by one at most. More are watched in so many groups, by their names. */
const maxKeys = 64;

interface Parameter {
    readonly name: string;
    readonly value: string;
}

/**
 * Creates the keys of what a request may crash upstreams by. They do not depend on the order of its parameters or on how they are encoded.
 * @param fingerprint - The fingerprint of the request without its query.
 * @param query - The query without the question mark; empty if there is none.
 * @returns Without a query the fingerprint. Otherwise keys for any query, for the whole one and for its parameters, so that a request
 * without a query is not mistaken for those with one.
 */
export function createTraitKeys(fingerprint: string, query: string): readonly string[] {
    const parameters = readParameters(query);
    if (parameters.length === 0) {
        return [fingerprint];
    }
    const keys = new Set([`${fingerprint}?`, createKey(fingerprint, parameters)]);
    for (const group of groupByName(parameters)) {
        keys.add(createKey(fingerprint, group));
    }
    return [...keys];
}

function readParameters(query: string): readonly Parameter[] {
    return [...new URLSearchParams(query)]
        .map(([name, value]) => ({ name, value }))
        .sort((left, right) => compare(left.name, right.name) || compare(left.value, right.value));
}

function compare(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}

function groupByName(parameters: readonly Parameter[]): Iterable<readonly Parameter[]> {
    if (parameters.length <= maxKeys) {
        return parameters.map(parameter => [parameter]);
    }
    const groups = new Map<number, Parameter[]>();
    for (const parameter of parameters) {
        const index = createHash("sha256").update(parameter.name).digest()[0] % maxKeys;
        const group = groups.get(index) ?? [];
        group.push(parameter);
        groups.set(index, group);
    }
    return groups.values();
}

function createKey(fingerprint: string, parameters: readonly Parameter[]): string {
    return createHash("sha256")
        .update(JSON.stringify([fingerprint, ...parameters.map(({ name, value }) => [name, value])]))
        .digest()
        .subarray(0, keyBytes)
        .toString("base64url");
}
