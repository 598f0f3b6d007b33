/**
 * Determines which versions a pool should have loaded, from the configuration and the roll-outs.
 */
import type { Configuration } from "../../configuration/index.js";
import type { Rollout, RolloutFold } from "../../control/index.js";
import type { PlacedVersion } from "../../decisions/index.js";
import type { ModelVersion } from "../../world/index.js";

const modelWildcard = "*";

/** Inputs from which the desired versions are determined. */
export interface DesiredVersionsOptions {
    readonly configuration: Configuration;
    readonly rollouts: RolloutFold;
    /** Models that are placed on the pool; `*` stands for all models. */
    readonly models: readonly string[];
    /** Returns how much work a version gets in the whole site. */
    readonly getDemand: (version: string) => number;
}

/** Represents the desired versions of a pool. */
export interface DesiredVersions {
    readonly placed: readonly PlacedVersion[];
    /** Versions that may stay loaded until their slots are needed. */
    readonly evictable: ReadonlySet<string>;
}

/**
 * Collects the versions that a pool should have loaded: those that serve or drain, candidates in a roll-out, and the
 * fallbacks that receive the traffic when one of these is halted. A version that is neither placed nor evictable is to
 * be unloaded.
 * @param options - Inputs from which the versions are determined.
 */
export function collectDesiredVersions(options: DesiredVersionsOptions): DesiredVersions {
    const placed = new Map<string, number>();
    const evictable = new Set<string>();
    for (const version of options.configuration.getVersions()) {
        if (version.status === "withdrawn") {
            continue;
        }
        const isPlacedHere = options.models.includes(modelWildcard) || options.models.includes(version.model);
        const demand = isPlacedHere ? getPlacedDemand(version, options) : undefined;
        if (demand === undefined) {
            evictable.add(version.id);
        }
        else {
            placed.set(version.id, demand);
        }
    }
    for (const id of [...placed.keys()]) {
        // A halt moves all traffic to the fallback at once, and loading takes minutes.
        const fallback = options.rollouts.getFallback(id, version => evictable.has(version) || placed.has(version));
        if (fallback !== undefined && evictable.delete(fallback)) {
            placed.set(fallback, 0);
        }
    }
    return { placed: Array.from(placed, ([id, demand]) => ({ id, demand })), evictable };
}

/** Returns the demand of a version that should be loaded, or `undefined` for one that should not. */
function getPlacedDemand(version: ModelVersion, options: DesiredVersionsOptions): number | undefined {
    const { rollouts, getDemand } = options;
    if (rollouts.isHalted(version.id)) {
        return undefined;
    }
    const demand = getDemand(version.id);
    if (version.status !== "candidate") {
        return demand;
    }
    const rollout = rollouts.getRollouts().findLast(other =>
        other.candidate === version.id && (other.state === "active" || other.state === "finished")
    );
    return rollout === undefined
        ? undefined
        : Math.max(demand, getNextStageShare(rollout) * getDemand(rollout.baseline));
}

/**
 * Returns the share of callers at the next stage. A candidate that is loaded only when the stage starts would lack
 * capacity.
 */
function getNextStageShare(rollout: Rollout): number {
    return rollout.state === "finished" ? 1 : rollout.stages[rollout.stage + 1] ?? 1;
}
