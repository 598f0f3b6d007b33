/**
 * Handles calls to plain services. A call that must not be repeated runs at most once.
 */
import { err, ok, type Result } from "neverthrow";
import type { Bill, BillWriter } from "../bills/index.js";
import { type ClaimClient, createRunKey, type DeniedClaim, type GrantedClaim } from "../claims/index.js";
import { type Clock, Failure, type Outcome } from "../common/index.js";
import type { EffectiveSettings } from "../configuration/index.js";
import type { AdmissionController, RetryBudget, RunnerChooser } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import {
    type CrashWatch,
    createQuarantineFailure,
    createWatchedRequest,
    type RunUpstream,
    type WatchedRequest,
} from "../quarantine/index.js";
import type { ServiceAnswer, ServiceClient, UpstreamFailure } from "../upstream/index.js";
import type { Vm } from "../world/index.js";
import { combineOutcomes } from "./attemptRefusal.js";
import { createBillsFullFailure } from "./billsFullFailure.js";
import { checkCaller, type WaitingCaller } from "./callerDisconnection.js";
import { checkFreshness } from "./freshness.js";
import { createNotRunRefusal, type Refusal } from "./problem.js";
import { packAnswer, unpackAnswer } from "./storedAnswer.js";

/** Maximum number of instances tried for one call. */
const maxAttempts = 3;
/** Tokens with which admission counts each call to a plain service. */
const tokensPerCall = 100;
/** Methods that HTTP defines as idempotent, so that repeating them is safe. */
const idempotentMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Represents an authenticated call to a plain service. */
export interface ServiceRequest extends WaitingCaller {
    readonly requestId: string;
    readonly workspace: string;
    readonly application: string;
    readonly settings: EffectiveSettings;
    readonly pool: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
    readonly idempotencyKey: string | undefined;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
}

/** Represents the response for the caller. */
export interface ServiceReply {
    readonly answer: ServiceAnswer;
    /** Whether the answer is that of an earlier call with the same key. */
    readonly isReplayed: boolean;
}

/** Options of the pipeline. */
export interface ServicePipelineOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly getConfigurationAge: () => number;
    readonly admission: AdmissionController;
    readonly runners: RunnerChooser;
    readonly services: ServiceClient;
    readonly claims: ClaimClient;
    readonly retries: RetryBudget;
    readonly crashWatch: CrashWatch;
    /** Describes a service to the watch for crashed upstreams. */
    readonly describeUpstream: (service: Vm) => RunUpstream;
    readonly bills: BillWriter;
    readonly canBill: () => boolean;
    /** Name of this entry. */
    readonly entry: string;
}

/** Processes calls to plain services from arrival to response. */
export class ServicePipeline {
    readonly #options: ServicePipelineOptions;
    /** Outcomes of claimed calls that are still being written to the log. */
    readonly #pendingCompletions = new Set<Promise<void>>();

    constructor(options: ServicePipelineOptions) {
        this.#options = options;
    }

    /**
     * Serves or refuses a call.
     * @param request - The call.
     */
    async run(request: ServiceRequest): Promise<Result<ServiceReply, Refusal>> {
        const ready = this.#checkReady(request);
        if (ready.isErr()) {
            return err(createNotRunRefusal(ready.error));
        }
        const admitted = await this.#options.admission.admit({
            workspace: request.workspace,
            share: request.settings.share,
            priority: request.settings.priority,
            deadlineMilliseconds: request.settings.firstTokenMilliseconds,
            estimatedTokens: tokensPerCall,
            signal: request.disconnectSignal,
        });
        if (admitted.isErr()) {
            return err(createNotRunRefusal(admitted.error));
        }
        const result = request.idempotencyKey === undefined
            ? await this.#callAndBill(request)
            : await this.#callClaimed(request, request.idempotencyKey);
        admitted.value.release({
            outcome: result.isOk() ? "ok" : result.error.outcome === "not-run" ? "refused" : "failed",
            firstTokenMilliseconds: this.#options.clock.monotonic() - request.arrivedAt,
            tokens: tokensPerCall,
        });
        return result;
    }

    #checkReady(request: ServiceRequest): Result<void, Failure> {
        if (!request.settings.services.includes(request.pool)) {
            return err(createPoolFailure(request.pool));
        }
        if (!this.#options.canBill()) {
            return err(createBillsFullFailure());
        }
        return checkFreshness(request.settings, this.#options.getConfigurationAge());
    }

    /**
     * Runs a call under its idempotency key. The claim is in the log before anything is written to the service. The
     * first claim in the log's order wins, and a claim is never taken over. A claimant that was frozen past every
     * timeout and then resumes may therefore still run the call, because no other claimant has run it.
     */
    async #callClaimed(request: ServiceRequest, idempotencyKey: string): Promise<Result<ServiceReply, Refusal>> {
        const key = createRunKey(request.workspace, `${request.pool}/${idempotencyKey}`);
        const { claims } = this.#options;
        const claimed = await claims.claim({ key, value: request.requestId, requestId: request.requestId });
        if (claimed.isErr()) {
            return err(createNotRunRefusal(claimed.error));
        }
        const decision = claimed.value;
        if (decision.kind !== "granted") {
            return this.#answerFromExistingClaim(decision);
        }
        if (request.disconnectSignal.aborted || !decision.isStillValid()) {
            await claims.release(decision);
            return err(createNotRunRefusal(createClaimTimeoutFailure()));
        }
        const result = await this.#callAndBill(request);
        await this.#recordClaimOutcome(decision, result);
        return result;
    }

    /** Waits until the outcomes of answered calls are in the log or their writes were abandoned. */
    async waitForCompletions(): Promise<void> {
        await Promise.all(this.#pendingCompletions);
    }

    /**
     * Records how a claimed call ended. The key is released only if nothing was written to a service. The release is in
     * the log before the caller receives "not run"; otherwise the caller's next attempt would conflict with its own
     * claim. The outcome of an answered call is written after its answer: while the log is unavailable, the caller
     * would otherwise wait seconds for a record that only a later call with the same key needs.
     */
    async #recordClaimOutcome(grant: GrantedClaim, result: Result<ServiceReply, Refusal>): Promise<void> {
        const { claims } = this.#options;
        if (result.isOk()) {
            const completion = claims.complete({ ...grant, outcome: packAnswer(result.value.answer) })
                .then(() => undefined)
                .finally(() => this.#pendingCompletions.delete(completion));
            this.#pendingCompletions.add(completion);
            return;
        }
        if (result.error.outcome === "not-run") {
            await claims.release(grant);
        }
    }

    #answerFromExistingClaim(existingClaim: DeniedClaim): Result<ServiceReply, Refusal> {
        this.#options.journal.write(events.claimHeldElsewhere, { request: existingClaim.value });
        if (existingClaim.kind === "completed" && existingClaim.outcome !== undefined) {
            return unpackAnswer(existingClaim.outcome)
                .map(answer => ({ answer, isReplayed: true }))
                .mapErr(failure => ({ failure, outcome: "ran" as Outcome }));
        }
        return err({
            outcome: "unknown",
            failure: new Failure({
                kind: "in-progress",
                message:
                    `Request ${existingClaim.value} holds the same key; it is in progress or its outcome is unknown.`,
                remedy:
                    "Send the request again with the same key for its answer; do not send the work under another key.",
                retryAfterMilliseconds: 1000,
            }),
        });
    }

    async #callAndBill(request: ServiceRequest): Promise<Result<ServiceReply, Refusal>> {
        const called = await this.#callWithRetries(request);
        if (called.isErr()) {
            return err(called.error);
        }
        const billed = await this.#options.bills.add(this.#createBill(request));
        if (billed.isErr()) {
            return err({ failure: billed.error, outcome: "ran" });
        }
        return ok({ answer: called.value, isReplayed: false });
    }

    async #callWithRetries(request: ServiceRequest): Promise<Result<ServiceAnswer, Refusal>> {
        this.#options.retries.addRequest();
        const excluded = new Set<string>();
        const { requestId: id, pool: host, method, path, workspace, body = "" } = request;
        const [pathAlone, ...query] = path.split("?");
        const watched = createWatchedRequest({
            id,
            isStream: false,
            content: { method, host, path: pathAlone, workspace, body },
            query: query.join("?"),
            prompt: undefined,
        });
        let combinedOutcome: Outcome = "not-run";
        for (let attempt = 0;; attempt += 1) {
            const called = await this.#callOnce(request, watched, excluded);
            if (called.isOk()) {
                return ok(called.value);
            }
            combinedOutcome = combineOutcomes(combinedOutcome, called.error.outcome);
            const mayRetry = called.error.isRetriable && (isRepeatable(request) || combinedOutcome === "not-run");
            if (!mayRetry || attempt + 1 >= maxAttempts || !this.#options.retries.tryAcquire()) {
                return err({ failure: called.error.failure, outcome: combinedOutcome });
            }
        }
    }

    async #callOnce(
        request: ServiceRequest,
        watched: WatchedRequest,
        excluded: Set<string>,
    ): Promise<Result<ServiceAnswer, UpstreamFailure & { readonly isRetriable: boolean; }>> {
        const { clock, crashWatch, runners, services, journal } = this.#options;
        const present = await checkCaller(request);
        if (present.isErr()) {
            return err({ failure: present.error, outcome: "not-run", isRetriable: false });
        }
        const quarantineMilliseconds = crashWatch.admit(watched);
        if (quarantineMilliseconds !== undefined) {
            return err({
                failure: createQuarantineFailure(quarantineMilliseconds),
                outcome: "not-run",
                isRetriable: false,
            });
        }
        const timeLeftMilliseconds = request.settings.deadlineMilliseconds - (clock.monotonic() - request.arrivedAt);
        const placed = runners.choose({
            pool: request.pool,
            blocks: [],
            excluded,
            deadlineMilliseconds: timeLeftMilliseconds,
        });
        if (placed.isErr()) {
            return err({ failure: placed.error, outcome: "not-run", isRetriable: false });
        }
        const service = placed.value.upstream;
        excluded.add(service.id);
        journal.write(events.requestDispatched, { request: request.requestId, upstream: service.id });
        const startedAt = clock.monotonic();
        const work = runners.start(placed.value);
        const run = crashWatch.startRun(watched, {
            upstream: this.#options.describeUpstream(service),
            isLastAttempt: () => !isRepeatable(request) || excluded.size >= maxAttempts,
        });
        const called = await services.call(service, {
            requestId: request.requestId,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            idempotencyKey: request.idempotencyKey,
            timeoutMilliseconds: Math.max(1, timeLeftMilliseconds),
            signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeLeftMilliseconds))),
        });
        work.finish({
            outcome: called.isOk() ? "ok" : called.error.outcome === "not-run" ? "refused" : "failed",
            milliseconds: clock.monotonic() - startedAt,
            loadHeader: called.isOk() ? called.value.loadHeader : undefined,
        });
        const failedEnd = called.isErr() && called.error.outcome === "not-run" ? "stopped" : "disconnected";
        await crashWatch.evaluate(run, called.isOk() ? "complete" : failedEnd);
        return called.mapErr(failure => ({ ...failure, isRetriable: true }));
    }

    #createBill(request: ServiceRequest): Bill {
        return {
            requestId: request.requestId,
            workspace: request.workspace,
            application: request.application,
            requestClass: request.settings.requestClass,
            session: undefined,
            lines: [{ version: request.pool, inputTokens: 0, cachedTokens: 0, outputTokens: 0, cost: 0 }],
            total: 0,
            answeredAt: this.#options.clock.wall(),
            entry: this.#options.entry,
        };
    }
}

function isRepeatable({ method, idempotencyKey }: ServiceRequest): boolean {
    return idempotentMethods.has(method) && idempotencyKey === undefined;
}

function createPoolFailure(pool: string): Failure {
    return new Failure({
        kind: "not-allowed",
        message: `The workspace does not allow the service ${JSON.stringify(pool)}.`,
        remedy: "Ask an operator to add it to the workspace's services.",
    });
}

function createClaimTimeoutFailure(): Failure {
    return new Failure({
        kind: "deadline",
        message: "The key was claimed too late to start the call.",
        remedy: "Send the request again with the same key.",
        retryAfterMilliseconds: 500,
    });
}
