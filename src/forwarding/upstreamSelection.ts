/**
 * Selects the upstream of an attempt, or tells why there is none.
 */
import type { PromptDescription, RestLimit, SendLimit, UpstreamPick, UpstreamPicker } from "../decisions/index.js";
import type { RegisteredUpstream, UpstreamRegistry } from "../fleet/index.js";
import type { VersionSelection } from "../rollouts/index.js";
import type { AttemptFailure } from "./attempt.js";
import type { Exchange } from "./exchange.js";
import type { SelectedUpstream } from "./selectedUpstream.js";

/** Load of an upstream whose slots are all in use, as a share of them. */
export const fullLoad = 1;

/** Options of `UpstreamSelection`. */
export interface UpstreamSelectionOptions {
    readonly registry: UpstreamRegistry;
    readonly picker: UpstreamPicker;
    readonly sendLimit: Pick<SendLimit<RegisteredUpstream>, "isAdmitted">;
    readonly restLimit: Pick<RestLimit<RegisteredUpstream>, "getWait">;
    /** Returns the upstreams that may serve an exchange according to the current roll-out. */
    readonly selectVersion: (exchange: Exchange, candidates: readonly RegisteredUpstream[]) => VersionSelection;
}

/** Selects upstreams for attempts. */
export class UpstreamSelection {
    readonly #options: UpstreamSelectionOptions;

    constructor(options: UpstreamSelectionOptions) {
        this.#options = options;
    }

    /**
     * Selects an upstream of the version that serves the request. When all upstreams of that version are warming up and may get nothing
     * from this node now, as at the beginning of a roll-out, a version with warm upstreams serves it.
     */
    select(
        exchange: Exchange,
        prompt: PromptDescription | undefined,
        excluded: ReadonlySet<string>,
        mayProbe = false,
    ): SelectedUpstream | undefined {
        const { registry, picker, selectVersion } = this.#options;
        const available = registry.getAvailable(exchange.pool);
        const pickAmong = (candidates: readonly RegisteredUpstream[]): SelectedUpstream | undefined => {
            const { upstreams, reason } = selectVersion(exchange, candidates);
            const pick = picker.pick({ pool: exchange.pool, candidates: upstreams, excluded, prompt, mayProbe });
            return pick && { pick, versionReason: reason };
        };
        const isWarmingUp = ({ id }: RegisteredUpstream): boolean => registry.warmUps.isWarmingUp(id);
        return pickAmong(available)
            ?? (available.some(isWarmingUp) ? pickAmong(available.filter(one => !isWarmingUp(one))) : undefined);
    }

    /**
     * Returns whether a request must not be heaped upon a full upstream because another one of the pool rests. One that has already
     * run in part is better late than broken off.
     */
    isHeapedUp({ outcome, pool }: Exchange, { load }: UpstreamPick): boolean {
        const { registry, restLimit } = this.#options;
        return outcome === "not-run"
            && load >= fullLoad
            && registry.getAvailable(pool).some(one => restLimit.getWait(one) > 0);
    }

    /** Creates the failure of a request for which no upstream was selected. */
    createFailure(exchange: Exchange): AttemptFailure {
        const { registry, restLimit } = this.#options;
        const waits = registry.getAvailable(exchange.pool).map(one => restLimit.getWait(one));
        return {
            kind: "not-made",
            reason: this.#isAnyLimited(exchange) ? "limited" : "nobody",
            retryAfterMilliseconds: waits.length === 0 ? undefined : Math.min(...waits),
        };
    }

    /** Returns whether an upstream that was not tried yet gets nothing from this node now because of a limit. */
    #isAnyLimited({ pool, excluded }: Exchange): boolean {
        const { registry, sendLimit } = this.#options;
        return registry.getAvailable(pool).some(one => !excluded.has(one.id) && !sendLimit.isAdmitted(one));
    }
}
