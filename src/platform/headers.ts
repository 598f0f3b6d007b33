/**
 * Reads and filters headers as HTTP libraries deliver them: flat lists of names and values.
 */
import { headerNames } from "./wire.js";

/** Headers that concern one connection only (RFC 9110, 7.6.1), and those that the sender of a message sets itself. */
const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Headers that the router alone may set. Passed on as a caller sent them, they would let it run under another workspace,
 * reserve a runner's memory, or go on from the memory of somebody else's request.
 */
const routerOnlyHeaders: ReadonlySet<string> = new Set([
    headerNames.apiKey,
    headerNames.workspace,
    headerNames.expectedRunner,
    headerNames.expectedWeights,
    headerNames.urgency,
    headerNames.pin,
    headerNames.hold,
    headerNames.backup,
    headerNames.resumeFrom,
    headerNames.fetchFrom,
    headerNames.deadline,
    headerNames.lastEventId,
    headerNames.model,
    headerNames.notExecuted,
    headerNames.seal,
]);

/** Headers of an answer that are between the upstream and the router. */
const internalAnswerHeaders: ReadonlySet<string> = new Set([headerNames.notExecuted, headerNames.load, "date"]);

/**
 * Returns the headers of a caller's request that an upstream may see.
 * @param raw - Names and values in turn.
 */
export function pickRequestHeaders(raw: readonly string[]): readonly string[] {
    return filterHeaders(raw, routerOnlyHeaders);
}

/**
 * Returns the headers of an upstream's answer that a caller may see.
 * @param raw - Names and values in turn.
 */
export function pickAnswerHeaders(raw: readonly string[]): readonly string[] {
    return filterHeaders(raw, internalAnswerHeaders);
}

/**
 * Returns a header's value, the first one if it was sent more than once.
 * @param raw - Names and values in turn.
 * @param name - Its name in lower case.
 */
export function findHeader(raw: readonly string[], name: string): string | undefined {
    for (let index = 0; index + 1 < raw.length; index += 2) {
        if (raw[index].toLowerCase() === name) {
            return raw[index + 1];
        }
    }
    return undefined;
}

/**
 * Reads a header that holds a number.
 * @returns Undefined when it is missing or no number from 0 on.
 */
export function findNumber(raw: readonly string[], name: string): number | undefined {
    const value = findHeader(raw, name);
    const number = value === undefined || value.trim() === "" ? Number.NaN : Number(value);
    return Number.isFinite(number) && number >= 0 ? number : undefined;
}

function filterHeaders(raw: readonly string[], dropped: ReadonlySet<string>): readonly string[] {
    const connectionOptions = new Set(
        (findHeader(raw, "connection") ?? "").toLowerCase().split(",").map(name => name.trim()),
    );
    const kept: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = raw[index].toLowerCase();
        if (!connectionHeaders.has(name) && !dropped.has(name) && !connectionOptions.has(name)) {
            kept.push(raw[index], raw[index + 1]);
        }
    }
    return kept;
}
