/**
 * Decides whether the head of an answer states where its body ends (RFC 9112, section 6.3).
 */

const chunkedCoding = "chunked";
/** Statuses whose answers end with their heads. */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** What the head of an answer says. */
export interface AnswerHead {
    readonly status: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
}

/**
 * Returns whether the end of an answer differs from that of a broken connection. Otherwise it ends with its connection, and nobody states
 * that it is whole.
 * @param method - The method of the request.
 * @param head - The head of its answer.
 */
export function hasStatedEnd(method: string, { status, headers }: AnswerHead): boolean {
    if (method === "HEAD" || bodylessStatuses.has(status)) {
        return true;
    }
    const codings = findValues(headers, "transfer-encoding").join(",").split(",").map(coding => coding.trim());
    const lastCoding = codings.at(-1)?.toLowerCase() ?? "";
    // Any other transfer encoding overrides a length and goes on until the connection ends.
    return lastCoding === "" ? findValues(headers, "content-length").length > 0 : lastCoding === chunkedCoding;
}

/** Returns headers as alternating names and values. */
export function listHeaders(headers: Readonly<Record<string, string | readonly string[] | undefined>>): string[] {
    const list: string[] = [];
    for (const [name, value] of Object.entries(headers)) {
        for (const single of value === undefined ? [] : [value].flat()) {
            list.push(name, single);
        }
    }
    return list;
}

function findValues(headers: readonly string[], name: string): readonly string[] {
    const values: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index].toLowerCase() === name) {
            values.push(headers[index + 1]);
        }
    }
    return values;
}
