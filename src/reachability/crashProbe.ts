/**
 * Finds out whether an upstream has crashed.
 */
import { isRefusingConnections } from "../upstream/index.js";
import type { Reachability } from "./reachability.js";
import type { RelayedUpstream } from "./relayInterceptor.js";

/** Options of the check. */
export interface CrashProbeOptions {
    readonly reachability: Pick<Reachability, "check">;
    /** Returns the upstream with an address, if it is known. */
    readonly findUpstream: (address: string) => RelayedUpstream | undefined;
}

/**
 * Creates the check for crashed upstreams: the machine refuses connections, while others of the pool accept them. A node that has
 * lost its paths is refused by all, and would blame the requests that they ran.
 */
export function createCrashProbe(
    { reachability, findUpstream }: CrashProbeOptions,
): (address: string) => Promise<boolean> {
    return async address => {
        const upstream = findUpstream(address);
        return await isRefusingConnections(address)
            && (upstream === undefined || await reachability.check(upstream.pool, upstream.id));
    };
}
