/**
 * Applies roll-outs and halts to plans.
 */
import type { RolloutFold } from "../control/index.js";
import type { Plan, PlanStep, RolloutRouter } from "../decisions/index.js";
import type { ModelVersion } from "../world/index.js";
import type { ChatCall } from "./chatCall.js";

/** What the policy works with. */
export interface VersionPolicyOptions {
    readonly rollouts: RolloutFold;
    readonly router: RolloutRouter;
}

/** Decides which callers meet a roll-out's candidate. */
export class VersionPolicy {
    readonly #rollouts: RolloutFold;
    readonly #router: RolloutRouter;

    constructor(options: VersionPolicyOptions) {
        this.#rollouts = options.rollouts;
        this.#router = options.router;
    }

    /**
     * Tells whether a version was halted and not lifted again.
     * @param version - Identifier of the version.
     */
    isHalted(version: string): boolean {
        return this.#rollouts.isHalted(version);
    }

    /**
     * Puts candidates in the place of settled versions where a roll-out exposes the caller.
     * @param plan - The plan on settled versions.
     * @param call - The call.
     * @param caller - What decides whether the caller is exposed.
     */
    expose(plan: Plan, call: ChatCall, caller: string): Plan {
        const steps: PlanStep[] = [];
        for (const step of plan.steps) {
            const version = this.#pick(step.version, call, caller);
            steps.push(version === undefined ? step : { ...step, version });
        }
        return { ...plan, steps };
    }

    #pick(settled: ModelVersion, call: ChatCall, caller: string): ModelVersion | undefined {
        if (call.request.model === settled.id) {
            return undefined;
        }
        for (const rollout of this.#rollouts.getActiveRollouts(settled.model)) {
            if (rollout.baseline !== settled.id) {
                continue;
            }
            const candidate = call.settings.allowedVersions.find(version => version.id === rollout.candidate);
            if (candidate === undefined || this.isHalted(candidate.id)) {
                continue;
            }
            if (this.#router.pick({ rollout: rollout.id, caller }) === candidate.id) {
                return candidate;
            }
        }
        return undefined;
    }
}
