/**
 * Finds out whether an upstream that does not refuse connections still runs.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../common/index.js";
import type { UpstreamLife } from "../quarantine/index.js";
import type { Reachability } from "./reachability.js";
import type { RelayedUpstream } from "./relayInterceptor.js";

/**
 * Time after which an upstream is asked again that has broken off a request for a sign of life. That request may have gone to a connection
 * that was reset together with the run's, as by a network that fails.
 */
const secondRequestMilliseconds = 150;
/** Time within which a connection that was reset breaks off a request. One that has waited for longer met silence, and so would the next. */
const maxResetMilliseconds = 500;

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
    readonly clock: Pick<Clock, "monotonic">;
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
    { clock, reachability, checkLiveness }: LifeProbeOptions,
): Promise<UpstreamLife> {
    const askedAt = clock.monotonic();
    let liveness = await checkLiveness();
    if (liveness === "unanswered" && clock.monotonic() - askedAt < maxResetMilliseconds) {
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
