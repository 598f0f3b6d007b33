/** Requests of a soak test with a part in their prompts that crashes runners, and the check that nodes hold them back. */
import type { ReceivedRequest } from "../standins/runnerStandin.js";
import type { NodeOutage } from "./soakLimit.js";
import type { SentRequest } from "./soakStatements.js";

const firstPart = "f1257";
const crashingPart = "dead";
const sharedParts = ["b0", "b1", "b2"];
const tokensPerPart = 50;
/** The users' bounds: crashes by which all nodes know the part, and requests with it that may reach runners after the contact time. */
const maxCrashes = 5;
const contactMilliseconds = 3_000;
const maxLateRequests = 3;

/** Creates the parts of a prompt; those of others differ, and share parts with it. */
export function createPromptParts(count: number, isCrashing: boolean): readonly string[] {
    return [firstPart, isCrashing ? crashingPart : sharedParts[count % sharedParts.length], `c${count}`];
}

/** Creates the headers of a prompt. */
export function createPromptHeaders(parts: readonly string[]): Readonly<Record<string, string>> {
    return {
        "model": "m",
        "token-count": `${parts.length * tokensPerPart},20`,
        "prompt-prefix": parts.map(part => `${part}:${tokensPerPart}`).join(","),
    };
}

/** Returns whether a request crashes its runner. */
export function isCrashing({ headers }: ReceivedRequest): boolean {
    return String(headers["prompt-prefix"] ?? "").includes(crashingPart);
}

/** A request that crashed its runner. */
export interface Crash {
    /** Identifier of the request. */
    readonly request: string;
    readonly at: number;
}

/**
 * Returns the violations, one line each. Requests of nodes that were not in touch for the contact time do not count.
 * @param crashes - The requests that crashed their runners, in their order.
 * @param sent - What the callers know of them, by identifier.
 * @param outages - Outages of nodes.
 */
export function findCrashViolations(
    crashes: readonly Crash[],
    sent: ReadonlyMap<string, SentRequest>,
    outages: readonly NodeOutage[],
): readonly string[] {
    const lateAt = (crashes[maxCrashes - 1]?.at ?? Number.POSITIVE_INFINITY) + contactMilliseconds;
    const late = crashes.filter(({ request, at }) => {
        const node = sent.get(request)?.node;
        const isExcused = outages.some(outage =>
            outage.node === node && outage.from < at && outage.until > at - contactMilliseconds
        );
        return at > lateAt && !isExcused;
    });
    return late.length <= maxLateRequests
        ? []
        : [`${late.length} requests crashed runners after all nodes had to know their part`];
}
