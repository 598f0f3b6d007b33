/**
 * Reads and filters headers in the form of HTTP libraries: flat lists of alternating names and values.
 */
import { headerNames } from "./wire.js";

/**
 * Headers that concern one connection only (RFC 9110, section 7.6.1), and headers that the sender of each message sets itself.
 */
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
 * Headers that only the router may set. If a caller's values were forwarded, the request could run under another workspace,
 * reserve a runner's memory, or continue from the memory of another caller's request.
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

/** Response headers that only the router reads. */
const internalAnswerHeaders: ReadonlySet<string> = new Set([headerNames.notExecuted, headerNames.load, "date"]);

/**
 * Returns the headers of a caller's request that are forwarded to an upstream.
 * @param raw - Alternating names and values.
 */
export function pickRequestHeaders(raw: readonly string[]): readonly string[] {
    return filterHeaders(raw, routerOnlyHeaders);
}

/**
 * Returns the headers of an upstream's answer that are forwarded to a caller.
 * @param raw - Alternating names and values.
 */
export function pickAnswerHeaders(raw: readonly string[]): readonly string[] {
    return filterHeaders(raw, internalAnswerHeaders);
}

/**
 * Returns a header's value, or the first value if the header was sent more than once.
 * @param raw - Alternating names and values.
 * @param name - The header's name in lower case.
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
 * Reads a numeric header.
 * @returns Undefined when the header is missing or not a non-negative number.
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
    const forwarded: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = raw[index].toLowerCase();
        if (!connectionHeaders.has(name) && !dropped.has(name) && !connectionOptions.has(name)) {
            forwarded.push(raw[index], raw[index + 1]);
        }
    }
    return forwarded;
}
