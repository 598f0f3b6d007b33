/**
 * Runs one version's answer on a runner, and on another runner if the first fails before the caller received anything.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, Failure, type Outcome } from "../common/index.js";
import type { Configuration } from "../configuration/index.js";
import type { Placement, RetryBudget, RunnerChooser, Work } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import {
    type CrashWatch,
    createQuarantineFailure,
    type RunEnd,
    type RunUpstream,
    type WatchedRun,
} from "../quarantine/index.js";
import type { EngineAnswer, EngineClient } from "../upstream/index.js";
import type { ModelVersion, Vm } from "../world/index.js";
import { createAnswerHeaders } from "./answerHeaders.js";
import { relayAnswer } from "./answerRelay.js";
import type { AttemptOptions, AttemptResult } from "./attempt.js";
import {
    type AttemptRefusal,
    combineOutcomes,
    createFinalRefusal,
    createMismatchRefusal,
    toDeadlineRefusal,
} from "./attemptRefusal.js";
import { createAttemptSignal } from "./attemptSignal.js";
import { checkCaller } from "./callerDisconnection.js";
import { type ChatCall, getTimeLeft } from "./chatCall.js";
import type { Explanations } from "./explanations.js";
import type { Metrics } from "./metrics.js";
import type { Refusal } from "./problem.js";
import { getPrefixHashes } from "./promptBlocks.js";
import { cancelIdleStream } from "./streamCancellation.js";

/** Maximum number of runners tried for one answer. */
const maxAttempts = 3;

/** Options of an attempt runner. */
export interface AttemptRunnerOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly metrics: Metrics;
    readonly engines: EngineClient;
    readonly runners: RunnerChooser;
    readonly retries: RetryBudget;
    readonly crashWatch: CrashWatch;
    /** Describes an engine to the watch for crashed upstreams. */
    readonly describeUpstream: (runner: Vm) => RunUpstream;
    readonly explanations: Explanations;
    readonly getConfiguration: () => Configuration;
    readonly isHalted: (version: string) => boolean;
    readonly createSessionToken: (call: ChatCall, version: string) => string | undefined;
    readonly signingKey: string;
    /** How long a stream is continued for a resumption after its caller disconnected, in milliseconds. */
    readonly resumeGraceMilliseconds: number;
}

/** Runs answers on runners. */
export class AttemptRunner {
    readonly #options: AttemptRunnerOptions;

    constructor(options: AttemptRunnerOptions) {
        this.#options = options;
    }

    /**
     * Runs one version until it has answered or may not be retried.
     * @param options - The requested answer.
     */
    async run(options: AttemptOptions): Promise<Result<AttemptResult, Refusal>> {
        this.#options.retries.addRequest();
        const excluded = new Set<string>();
        let combinedOutcome: Outcome = "not-run";
        for (let attempt = 0;; attempt += 1) {
            const result = await this.#runAttempt(options, attempt, excluded);
            if (result.isOk()) {
                return ok(result.value);
            }
            combinedOutcome = combineOutcomes(combinedOutcome, result.error.outcome);
            if (!this.#mayRetry(options, attempt, result.error)) {
                return err({ failure: result.error.failure, outcome: combinedOutcome });
            }
            options.onRestart();
        }
    }

    #mayRetry(options: AttemptOptions, attempt: number, refusal: AttemptRefusal): boolean {
        const { call } = options;
        if (!refusal.isRetriable || attempt + 1 >= maxAttempts) {
            return false;
        }
        if (call.sink.hasStarted || call.disconnectSignal.aborted || call.deadlineSignal.aborted) {
            return false;
        }
        return this.#options.retries.tryAcquire();
    }

    async #runAttempt(
        options: AttemptOptions,
        attempt: number,
        excluded: Set<string>,
    ): Promise<Result<AttemptResult, AttemptRefusal>> {
        const { call, version } = options;
        const present = await checkCaller(call);
        if (present.isErr()) {
            return err(createFinalRefusal(present.error));
        }
        const allowed = this.#checkAllowed(call, version);
        if (allowed.isErr()) {
            return err(createFinalRefusal(allowed.error));
        }
        const quarantineMilliseconds = this.#options.crashWatch.admit(call.watched);
        if (quarantineMilliseconds !== undefined) {
            return err(createFinalRefusal(createQuarantineFailure(quarantineMilliseconds)));
        }
        const placed = this.#options.runners.choose({
            version: version.id,
            blocks: getPrefixHashes(call.request.promptText),
            excluded,
            deadlineMilliseconds: getTimeLeft(call, this.#options.clock.monotonic()),
        });
        if (placed.isErr()) {
            return err(createFinalRefusal(placed.error));
        }
        const runner = placed.value.upstream;
        excluded.add(runner.id);
        const streamId = `${call.requestId}.${options.stepIndex}.${attempt}`;
        this.#options.explanations.addPlacement(call.requestId, version.id, placed.value);
        this.#options.journal.write(events.requestDispatched, {
            request: call.requestId,
            version: version.id,
            upstream: runner.id,
            stream: streamId,
            reason: placed.value.reason,
        });
        return this.#dispatch(options, placed.value, streamId, attempt + 1 >= maxAttempts);
    }

    /**
     * Checks again, just before the dispatch, that the version may take this request. The configuration may have
     * changed while the request waited, and a withdrawn version must receive no new work.
     */
    #checkAllowed(call: ChatCall, version: ModelVersion): Result<void, Failure> {
        const effective = this.#options.getConfiguration().getEffective({
            workspace: call.workspace,
            application: call.application,
            session: call.requestClass,
        });
        const allowed = effective.isOk()
            && effective.value.allowedVersions.some(candidate => candidate.id === version.id);
        if (allowed && !this.#options.isHalted(version.id)) {
            return ok(undefined);
        }
        return err(
            new Failure({
                kind: "unavailable",
                message: `The version ${version.id} stopped accepting work while the request waited.`,
                remedy: "Send the request again.",
                retryAfterMilliseconds: 200,
            }),
        );
    }

    async #dispatch(
        options: AttemptOptions,
        placement: Placement,
        streamId: string,
        isLastAttempt: boolean,
    ): Promise<Result<AttemptResult, AttemptRefusal>> {
        const { call, version } = options;
        const runner = placement.upstream;
        const { crashWatch } = this.#options;
        const run = crashWatch.startRun(call.watched, {
            upstream: this.#options.describeUpstream(runner),
            isLastAttempt: () => isLastAttempt,
        });
        const evaluate = (end: RunEnd): Promise<void> => crashWatch.evaluate(run, end);
        const graceMilliseconds = options.direct && call.request.streamed ? this.#options.resumeGraceMilliseconds : 0;
        const attemptSignal = createAttemptSignal(call.disconnectSignal, call.deadlineSignal, graceMilliseconds);
        const startedAt = this.#options.clock.monotonic();
        const work = this.#options.runners.start(placement);
        try {
            const pendingAnswer = this.#options.engines.complete(runner, {
                streamId,
                version: version.id,
                requestClass: call.requestClass,
                priority: call.priority,
                deadlineMilliseconds: Math.max(1, getTimeLeft(call, startedAt)),
                body: call.request.body,
                signal: attemptSignal.signal,
            });
            // Signing takes as long as all other work before a first token. Done after the first token arrived, it
            // would delay the caller; here the engine processes the prompt in the meantime.
            const headers = createAnswerHeaders(options, { runner: runner.id, streamId }, this.#options);
            const answered = await pendingAnswer;
            if (answered.isErr()) {
                const isRefused = answered.error.outcome === "not-run";
                finishWork(work, isRefused ? "refused" : "failed", this.#options.clock.monotonic() - startedAt);
                await evaluate(isRefused || attemptSignal.signal.aborted ? "stopped" : "disconnected");
                if (attemptSignal.signal.aborted) {
                    // The engine may be processing the prompt. Without a cancellation it would complete an answer that
                    // has no reader and no bill: its load would include the work, and the bills would not.
                    await this.#abandon(options, runner, streamId);
                }
                return err({ ...toDeadlineRefusal(call, answered.error), isRetriable: true });
            }
            const answer = answered.value;
            if (answer.version !== version.id) {
                finishWork(work, "failed", this.#options.clock.monotonic() - startedAt);
                return err(this.#rejectVersionMismatch(runner, streamId, version, answer));
            }
            const { signal } = attemptSignal;
            return await this.#relay({
                options,
                runner,
                streamId,
                headers,
                answer,
                work,
                startedAt,
                signal,
                run,
                evaluate,
            });
        }
        finally {
            attemptSignal.dispose();
        }
    }

    async #relay(attempt: RunningAttempt): Promise<Result<AttemptResult, AttemptRefusal>> {
        const { options, runner, streamId, headers, answer, work, startedAt, signal } = attempt;
        const { call } = options;
        const { clock, metrics } = this.#options;
        let firstTokenMilliseconds = 0;
        let lastEventAt = startedAt;
        const relayed = await relayAnswer({
            engines: this.#options.engines,
            runner,
            streamId,
            answer,
            lastId: 0,
            signal,
            onFirstEvent: () => {
                const now = clock.monotonic();
                attempt.run.markHead();
                firstTokenMilliseconds = now - options.stepStartedAt;
                lastEventAt = now;
                work.addFirstToken(now - startedAt);
                if (options.direct) {
                    metrics.firstToken.observe({ class: call.requestClass }, (now - call.arrivedAt) / 1000);
                    call.sink.start(headers);
                }
            },
            write: async event => {
                const now = clock.monotonic();
                if (lastEventAt !== now && event.id > 1) {
                    metrics.tokenGap.observe((now - lastEventAt) / 1000);
                }
                lastEventAt = now;
                attempt.run.markPiece();
                await (event.data === "[DONE]" ? options.writeEnd(event) : options.write(event));
            },
            beforeEnd: usage => options.beforeEnd(usage),
        });
        const milliseconds = clock.monotonic() - startedAt;
        if (relayed.isOk()) {
            finishWork(work, "ok", milliseconds, answer);
            await attempt.evaluate("complete");
            return ok({ usage: relayed.value, firstTokenMilliseconds, milliseconds, headers });
        }
        finishWork(work, signal.aborted ? "cancelled" : "failed", milliseconds, answer);
        await attempt.evaluate(signal.aborted ? "stopped" : "disconnected");
        await this.#abandon(options, runner, streamId);
        return err({ ...toDeadlineRefusal(call, relayed.error), isRetriable: true });
    }

    /**
     * Abandons an answer. While the caller is connected, the cancellation runs in the background: the final answer or
     * the next attempt must not wait for an engine that may be frozen.
     */
    async #abandon(options: AttemptOptions, runner: Vm, streamId: string): Promise<void> {
        const cancelled = this.#cancel(options, runner, streamId);
        if (options.call.disconnectSignal.aborted) {
            await cancelled;
        }
    }

    /**
     * Cancels an answer that has no reader, and bills the tokens generated so far. If another entry reads the stream by
     * now, the stream is left alone and billed there.
     */
    async #cancel(options: AttemptOptions, runner: Vm, streamId: string): Promise<void> {
        const usage = await cancelIdleStream(this.#options.engines, runner, streamId);
        if (usage !== undefined && options.direct && options.call.disconnectSignal.aborted) {
            await options.beforeEnd(usage);
        }
    }

    #rejectVersionMismatch(runner: Vm, streamId: string, version: ModelVersion, answer: EngineAnswer): AttemptRefusal {
        void answer.events.return(undefined);
        void this.#options.engines.cancel(runner, streamId, false);
        this.#options.journal.write(events.versionMismatch, {
            upstream: runner.id,
            version: version.id,
            found: answer.version,
        });
        return createMismatchRefusal(runner.id, version.id, answer.version);
    }
}

interface RunningAttempt {
    readonly options: AttemptOptions;
    readonly runner: Vm;
    readonly streamId: string;
    /** Headers for the caller. */
    readonly headers: Readonly<Record<string, string>>;
    readonly answer: EngineAnswer;
    readonly work: Work;
    readonly startedAt: number;
    readonly signal: AbortSignal;
    /** The attempt as the watch for crashed upstreams sees it. */
    readonly run: WatchedRun;
    /** Evaluates the end of the run for the quarantine. */
    readonly evaluate: (end: RunEnd) => Promise<void>;
}

function finishWork(
    work: Work,
    outcome: "ok" | "failed" | "refused" | "cancelled",
    milliseconds: number,
    answer?: EngineAnswer,
): void {
    work.finish({ outcome, milliseconds, loadHeader: answer?.loadHeader });
}
