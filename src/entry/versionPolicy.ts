/**
 * Applies roll-outs and halts to plans.
 */
import type { RolloutFold } from "../control/index.js";
import type { Plan, PlanStep, RolloutRouter } from "../decisions/index.js";
import type { ModelVersion } from "../world/index.js";
import type { ChatCall } from "./chatCall.js";

/** Options of the policy. */
export interface VersionPolicyOptions {
    readonly rollouts: RolloutFold;
    readonly router: RolloutRouter;
}

/** Decides which callers get a roll-out's candidate. */
export class VersionPolicy {
    readonly #rollouts: RolloutFold;
    readonly #router: RolloutRouter;

    constructor(options: VersionPolicyOptions) {
        this.#rollouts = options.rollouts;
        this.#router = options.router;
    }

    /**
     * Returns whether a version was halted and the halt has not been lifted.
     * @param version - Identifier of the version.
     */
    isHalted(version: string): boolean {
        return this.#rollouts.isHalted(version);
    }

    /**
     * Replaces stable versions by candidates where a roll-out exposes the caller.
     * @param plan - The plan with stable versions.
     * @param call - The call.
     * @param exposureKey - The key that decides whether the caller is exposed.
     */
    applyRollouts(plan: Plan, call: ChatCall, exposureKey: string): Plan {
        const steps: PlanStep[] = [];
        for (const step of plan.steps) {
            const version = this.#selectCandidate(step.version, call, exposureKey);
            steps.push(version === undefined ? step : { ...step, version });
        }
        return { ...plan, steps };
    }

    /**
     * Follows the roll-outs that start from a version, in the order of their start. The candidate of a finished
     * roll-out is the baseline of the next one. If finished roll-outs were ignored, a candidate would lose all its
     * callers when its roll-out finishes, until an operator changes its status.
     */
    #selectCandidate(stable: ModelVersion, call: ChatCall, exposureKey: string): ModelVersion | undefined {
        if (call.request.model === stable.id) {
            return undefined;
        }
        let selected: ModelVersion | undefined;
        for (const rollout of this.#rollouts.getRollouts()) {
            const isInEffect = rollout.state === "active" || rollout.state === "finished";
            if (!isInEffect || rollout.baseline !== (selected ?? stable).id) {
                continue;
            }
            const candidate = call.settings.allowedVersions.find(version => version.id === rollout.candidate);
            if (candidate === undefined || candidate.status === "draining" || this.isHalted(candidate.id)) {
                continue;
            }
            if (this.#router.pick({ rollout: rollout.id, caller: exposureKey }) === candidate.id) {
                selected = candidate;
            }
        }
        return selected;
    }
}
