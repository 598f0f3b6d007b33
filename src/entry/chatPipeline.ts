/**
 * Processes chat completions: freshness, admission, session, plan, and the plan's steps.
 */
import { err, type Result } from "neverthrow";
import { type Clock, Failure } from "../common/index.js";
import type { AdmissionController, AnswerTimes, ModelChooser, Plan } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { ModelVersion } from "../world/index.js";
import { createBillsFullFailure } from "./billsFullFailure.js";
import { checkCaller } from "./callerDisconnection.js";
import { type ChatCall, getExposureKey } from "./chatCall.js";
import type { Explanations } from "./explanations.js";
import { checkFreshness } from "./freshness.js";
import type { PlanRunner } from "./planRunner.js";
import { createNotRunRefusal, type Refusal } from "./problem.js";
import type { ServedRequest } from "./servedRequest.js";
import type { Sessions } from "./sessions.js";
import { getTicketOutcome } from "./ticketOutcome.js";
import type { VersionPolicy } from "./versionPolicy.js";
import { selectPinnedVersion, selectVersions } from "./versionSelection.js";

/** Options of the pipeline. */
export interface ChatPipelineOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    /** Returns the milliseconds since the configuration was last confirmed as the newest. */
    readonly getConfigurationAge: () => number;
    /** Whether ratings are available; without them a cascade would escalate every answer. */
    readonly areRatingsAvailable: () => boolean;
    readonly admission: AdmissionController;
    readonly modelChooser: ModelChooser;
    readonly answerTimes: AnswerTimes;
    readonly versionPolicy: VersionPolicy;
    readonly sessions: Sessions;
    readonly planRunner: PlanRunner;
    readonly explanations: Explanations;
    /** Whether bills can still be stored; otherwise nothing billable may start. */
    readonly canBill: () => boolean;
}

/** Processes chat completions from arrival to answer. */
export class ChatPipeline {
    readonly #options: ChatPipelineOptions;

    constructor(options: ChatPipelineOptions) {
        this.#options = options;
    }

    /**
     * Serves or refuses a call.
     * @param call - The call.
     */
    async run(call: ChatCall): Promise<Result<void, Refusal>> {
        const freshness = checkFreshness(call.settings, this.#options.getConfigurationAge());
        if (freshness.isErr()) {
            return err(createNotRunRefusal(freshness.error));
        }
        if (!this.#options.canBill()) {
            return err(createNotRunRefusal(createBillsFullFailure()));
        }
        const admitted = await this.#options.admission.admit({
            workspace: call.workspace,
            share: call.settings.share,
            priority: call.settings.priority,
            deadlineMilliseconds: call.settings.firstTokenMilliseconds,
            estimatedTokens: call.request.estimatedInputTokens + call.request.estimatedOutputTokens,
            caller: call.session,
            isRetry: call.isRetry,
            signal: call.disconnectSignal,
        });
        if (admitted.isErr()) {
            return err(createNotRunRefusal(admitted.error));
        }
        const ticket = admitted.value;
        const present = await checkCaller(call);
        if (present.isErr()) {
            ticket.release({ outcome: "cancelled", tokens: 0 });
            return err(createNotRunRefusal(present.error));
        }
        const result = await this.#serve({ ...call, priority: ticket.priority });
        ticket.release(
            result.isOk()
                ? result.value
                : { outcome: getTicketOutcome(result.error, call.disconnectSignal.aborted), tokens: 0 },
        );
        return result.map(() => undefined);
    }

    async #serve(call: ChatCall): Promise<Result<ServedRequest, Refusal>> {
        const plan = await this.#plan(call);
        if (plan.isErr()) {
            return err(createNotRunRefusal(plan.error));
        }
        this.#options.explanations.addPlan(call.requestId, plan.value);
        this.#options.journal.write(events.requestPlanned, {
            request: call.requestId,
            workspace: call.workspace,
            class: call.requestClass,
            versions: plan.value.steps.map(step => step.version.id).join(","),
            reason: plan.value.reason,
        });
        return this.#options.planRunner.run(call, plan.value);
    }

    async #plan(call: ChatCall): Promise<Result<Plan, Failure>> {
        if (call.session !== undefined && call.settings.stickySession) {
            return this.#planSession(call, call.session);
        }
        return this.#planWithoutSession(call).map(plan =>
            this.#options.versionPolicy.applyRollouts(plan, call, getExposureKey(call))
        );
    }

    #planWithoutSession(call: ChatCall): Result<Plan, Failure> {
        const selected = selectVersions(this.#createSelection(call));
        return selected.map(candidates => this.#choose(call, candidates));
    }

    /**
     * Plans a call of a session. A session runs on one version from its first request on, so its plan has a single
     * step. If two first requests at two entries propose different versions, the log's order decides, and both use the
     * pinned version.
     */
    async #planSession(call: ChatCall, session: string): Promise<Result<Plan, Failure>> {
        const { sessions } = this.#options;
        const tokenVersion = sessions.readVersion(call);
        if (tokenVersion !== undefined) {
            return this.#planPinned(call, tokenVersion);
        }
        const proposedPlan = this.#planWithoutSession(call)
            .map(plan => this.#options.versionPolicy.applyRollouts(toSingleStepPlan(plan), call, getExposureKey(call)));
        if (proposedPlan.isErr()) {
            return err(proposedPlan.error);
        }
        const pinned = await sessions.pin(call, session, proposedPlan.value.steps[0].version.id);
        if (pinned.isErr()) {
            return err(pinned.error);
        }
        return this.#planPinned(call, pinned.value);
    }

    #planPinned(call: ChatCall, id: string): Result<Plan, Failure> {
        return selectPinnedVersion(id, this.#createSelection(call)).map(version => ({
            steps: [{ version, acceptScore: undefined }],
            expectedCost: 0,
            expectedQuality: 0,
            isExploring: false,
            reason: "session",
        }));
    }

    #choose(call: ChatCall, candidates: readonly ModelVersion[]): Plan {
        return this.#options.modelChooser.choose({
            requestClass: call.requestClass,
            candidates,
            targetQuality: call.settings.targetQuality,
            confidence: call.settings.confidence,
            inputTokens: call.request.estimatedInputTokens,
            outputTokens: call.request.estimatedOutputTokens,
            areRatingsAvailable: this.#options.areRatingsAvailable(),
            isCascadeInTime: (first, second) => this.#isCascadeInTime(call, first.id, second.id),
        });
    }

    /**
     * Returns whether a cascade's first token arrives within the time that the workspace allows. A streaming caller
     * receives nothing of the first answer until it is complete and rated. With answers that take seconds, it would
     * wait that long for its first token while every engine is idle. A caller that receives one document waits for the
     * end in any case.
     */
    #isCascadeInTime(call: ChatCall, first: string, second: string): boolean {
        if (!call.request.streamed) {
            return true;
        }
        const cascadeWaitMilliseconds = this.#options.answerTimes.getCascadeWaitMilliseconds(
            call.requestClass,
            first,
            second,
        );
        const elapsedMilliseconds = this.#options.clock.monotonic() - call.arrivedAt;
        return cascadeWaitMilliseconds !== undefined
            && elapsedMilliseconds + cascadeWaitMilliseconds <= call.settings.firstTokenMilliseconds;
    }

    #createSelection(call: ChatCall) {
        return {
            allowed: call.settings.allowedVersions,
            model: call.request.model,
            isHalted: (version: string) => this.#options.versionPolicy.isHalted(version),
        };
    }
}

/** Reduces a plan to its last step, which has the best version. */
function toSingleStepPlan(plan: Plan): Plan {
    const last = plan.steps[plan.steps.length - 1];
    return { ...plan, steps: [{ version: last.version, acceptScore: undefined }] };
}
