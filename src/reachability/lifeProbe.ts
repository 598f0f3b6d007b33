/**
 * Finds out whether an upstream that does not refuse connections still runs.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { UpstreamLife } from "../quarantine/index.js";
import type { Reachability } from "./reachability.js";
import type { RelayedUpstream } from "./relayInterceptor.js";

/**
 * Time after which an upstream that has not answered a request for a sign of life is asked again. That request may have gone to a connection
 * that was reset together with the run's, as by a network that fails.
 */
const secondRequestMilliseconds = 150;

/**
 * What a request for a sign of life shows of an upstream.
 * - `running`: it has answered.
 * - `replaced`: another upstream has answered at its address, or this one after it has started anew.
 * - `unanswered`: nobody has answered.
 * - `unasked`: the request was not sent.
 */
export type Liveness = "running" | "replaced" | "unanswered" | "unasked";

/** Options of the look. */
export interface LifeProbeOptions {
    readonly reachability: Pick<Reachability, "check">;
    /** Asks the upstream for a sign of life that it gives after now. */
    readonly checkLiveness: () => Promise<Liveness>;
}

/**
 * Finds out whether an upstream still runs. A node that has lost its paths gets no answer of any upstream of the pool, and would blame the
 * requests that they ran.
 */
export async function probeLife(
    { id, pool }: RelayedUpstream,
    { reachability, checkLiveness }: LifeProbeOptions,
): Promise<UpstreamLife> {
    let liveness = await checkLiveness();
    if (liveness === "unanswered") {
        await sleep(secondRequestMilliseconds);
        liveness = await checkLiveness();
    }
    switch (liveness) {
        case "running":
            return "running";
        case "replaced":
            return "ended";
        case "unasked":
            return "unknown";
        case "unanswered":
            return await reachability.check(pool, id) ? "unresponsive" : "unknown";
    }
}
