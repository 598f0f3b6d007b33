/**
 * Decides for each caller whether a roll-out exposes it to the candidate.
 *
 * Two limits apply together. A stable hash of the caller exposes the same callers at every entry, and the set of them
 * only grows from stage to stage. And each entry exposes no more callers than the roll-out's record grants it, so that
 * the sum over all entries stays within the budget even if the entries have no information about each other.
 */
import type { Rollout, RolloutFold } from "../../control/index.js";
import type { CallerHash } from "./callerHash.js";
import type { Exposures } from "./exposures.js";

/** Maximum number of callers recorded for each roll-out. Beyond it a stage has no budget and only the hash decides. */
const maxTrackedCallers = 200_000;

/** Options of `RolloutRouter`. */
export interface RolloutRouterOptions {
    /** Name of this entry, as used in grants. */
    readonly entry: string;
    readonly fold: RolloutFold;
    readonly exposures: Exposures;
    readonly hash: CallerHash;
    /** Checks whether the candidate of a finished roll-out is held back for now. By default it never is. */
    readonly isHeld?: (rollout: Rollout) => boolean;
}

/** Share of callers that still get a version that is held back, so that the evidence about it continues to grow. */
const heldShare = 0.1;

/** Selects versions for callers. */
export class RolloutRouter {
    readonly #entry: string;
    readonly #fold: RolloutFold;
    readonly #exposures: Exposures;
    readonly #hash: CallerHash;
    readonly #isHeld: (rollout: Rollout) => boolean;
    readonly #callers = new Map<string, Set<number>>();

    constructor(options: RolloutRouterOptions) {
        this.#entry = options.entry;
        this.#fold = options.fold;
        this.#exposures = options.exposures;
        this.#hash = options.hash;
        this.#isHeld = options.isHeld ?? (() => false);
    }

    /**
     * Selects the version for a caller.
     * @param choice - The roll-out's identifier and the caller: workspace and session, or the key of the request.
     * @returns The candidate or the baseline. If the baseline is halted, its fallback, or `undefined` if there is none.
     */
    pick(choice: { readonly rollout: string; readonly caller: string; }): string | undefined {
        const rollout = this.#fold.getRollout(choice.rollout);
        if (rollout === undefined) {
            return undefined;
        }
        if (this.#isExposed(rollout, choice.caller)) {
            return rollout.candidate;
        }
        return this.#fold.isHalted(rollout.baseline) ? this.#fold.getFallback(rollout.baseline) : rollout.baseline;
    }

    /**
     * Selects the version of a model for a caller, considering all roll-outs of the model.
     * @returns The candidate of the first active roll-out that exposes the caller, otherwise the stable version.
     * `undefined` if the model was never rolled out or all its versions are halted.
     */
    pickForModel(choice: { readonly model: string; readonly caller: string; }): string | undefined {
        for (const rollout of this.#fold.getActiveRollouts(choice.model)) {
            if (this.#isExposed(rollout, choice.caller)) {
                return rollout.candidate;
            }
        }
        return this.#fold.getStableVersion(choice.model);
    }

    /** Removes the recorded callers of roll-outs that have ended. */
    removeEnded(): void {
        for (const id of this.#callers.keys()) {
            if (this.#fold.getRollout(id)?.state !== "active") {
                this.#callers.delete(id);
            }
        }
    }

    #isExposed(rollout: Rollout, caller: string): boolean {
        const share = this.#fold.getShare(rollout.id);
        if (share === 0) {
            return false;
        }
        const point = this.#hash(`${rollout.id}/${caller}`);
        if (rollout.state === "finished") {
            return point < heldShare || !this.#isHeld(rollout);
        }
        return point < share && this.#tryExpose(rollout, point);
    }

    /** Checks whether a caller is exposed already or may be exposed from now on, and records it in the latter case. */
    #tryExpose(rollout: Rollout, point: number): boolean {
        const callers = this.#getCallers(rollout.id);
        if (callers.has(point)) {
            return true;
        }
        const hasBudget = rollout.budgets[rollout.stage] !== undefined;
        if (hasBudget && this.#exposures.getOwn(rollout.id) >= (rollout.grants[this.#entry] ?? 0)) {
            return false;
        }
        if (callers.size < maxTrackedCallers) {
            callers.add(point);
            this.#exposures.add(rollout.id);
        }
        return true;
    }

    #getCallers(rollout: string): Set<number> {
        let callers = this.#callers.get(rollout);
        if (callers === undefined) {
            callers = new Set();
            this.#callers.set(rollout, callers);
        }
        return callers;
    }
}
