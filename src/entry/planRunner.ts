/**
 * Runs a plan: one version, or a cascade in which each cheaper answer is rated before it is accepted.
 */
import { err, ok, type Result } from "neverthrow";
import type { BillLine, BillWriter } from "../bills/index.js";
import { type Clock, type Failure, type Outcome } from "../common/index.js";
import type { AnswerTimes, Evidence, Plan, PlanStep } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { EngineEvent, RatingClient, TokenUsage } from "../upstream/index.js";
import type { ModelVersion } from "../world/index.js";
import { AnswerText } from "./answerText.js";
import type { AttemptResult } from "./attempt.js";
import { combineOutcomes } from "./attemptRefusal.js";
import type { AttemptRunner } from "./attemptRunner.js";
import { createBill, createBillLine } from "./callBill.js";
import { type ChatCall, getTimeLeft } from "./chatCall.js";
import type { Explanations } from "./explanations.js";
import type { Metrics } from "./metrics.js";
import type { Refusal } from "./problem.js";
import type { ServedRequest } from "./servedRequest.js";

/** Fraction of the remaining time that a rating inside a cascade may take. */
const ratingTimeShare = 0.25;
/** Maximum duration of a rating inside a cascade, in milliseconds. */
const maxRatingMilliseconds = 1000;

/** Options of a plan runner. */
export interface PlanRunnerOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly metrics: Metrics;
    readonly attemptRunner: Pick<AttemptRunner, "run">;
    readonly ratings: Pick<RatingClient, "rate">;
    readonly evidence: Pick<Evidence, "addAnswer" | "addEscalation" | "addRating">;
    readonly answerTimes: Pick<AnswerTimes, "add" | "addRating">;
    readonly bills: Pick<BillWriter, "add">;
    readonly explanations: Pick<Explanations, "addRating">;
    /** Name of this entry. */
    readonly entry: string;
    /** Returns whether a finished answer is sent to the rating service as a sample. */
    readonly isSampled: (requestClass: string) => boolean;
}

/** Represents the progress of a plan. */
interface PlanProgress {
    /** Bill lines of answers that were not accepted. */
    readonly earlierLines: BillLine[];
    /** Combined outcome of the earlier steps: once one of them ran, the request is no longer "not run". */
    outcome: Outcome;
    /** Whether the plan was chosen for exploration. */
    readonly isExploring: boolean;
    /** The rated answer that the next step's answer replaces. */
    escalatedFrom: RatedStep | undefined;
    /** The best answer that was not accepted, kept for the case that no later step answers. */
    kept: KeptAnswer | undefined;
}

/** An answer that was read completely, of which the caller has received nothing yet. */
interface BufferedAnswer {
    readonly result: AttemptResult;
    readonly events: readonly EngineEvent[];
}

interface KeptAnswer extends BufferedAnswer {
    readonly version: string;
    /** Its rating; undefined if the rating service gave none. */
    readonly score: number | undefined;
}

interface RatedStep {
    readonly version: string;
    readonly score: number;
}

/** Runs plans. */
export class PlanRunner {
    readonly #options: PlanRunnerOptions;

    constructor(options: PlanRunnerOptions) {
        this.#options = options;
    }

    /**
     * Runs a plan's steps until an answer is accepted.
     * @param call - The call.
     * @param plan - The plan.
     */
    async run(call: ChatCall, plan: Plan): Promise<Result<ServedRequest, Refusal>> {
        const progress: PlanProgress = {
            earlierLines: [],
            outcome: "not-run",
            escalatedFrom: undefined,
            kept: undefined,
            isExploring: plan.isExploring,
        };
        for (let index = 0; index < plan.steps.length; index += 1) {
            const step = plan.steps[index];
            const isLast = index === plan.steps.length - 1;
            const served = isLast
                ? await this.#runDirect(call, step, index, progress)
                : await this.#runRated(call, step, index, progress);
            if (served.isErr()) {
                return await this.#serveKept(call, progress, served.error.failure)
                    ?? err({ ...served.error, outcome: combineOutcomes(progress.outcome, served.error.outcome) });
            }
            if (served.value !== undefined) {
                return ok(served.value);
            }
        }
        throw new Error("A plan has at least one step, and its last step answers or fails.");
    }

    /** Streams the answer to the caller as it arrives. */
    async #runDirect(
        call: ChatCall,
        step: PlanStep,
        index: number,
        progress: PlanProgress,
    ): Promise<Result<ServedRequest, Refusal>> {
        const { version } = step;
        const { earlierLines, escalatedFrom, isExploring } = progress;
        // An exploring plan has a higher cost in order to obtain a rating; without the rating that cost is wasted.
        const isSampled = escalatedFrom !== undefined || isExploring || this.#options.isSampled(call.requestClass);
        const text = isSampled ? new AnswerText() : undefined;
        const result = await this.#options.attemptRunner.run({
            call,
            version,
            stepIndex: index,
            earlierLines,
            stepStartedAt: this.#getStepStartedAt(call, index),
            direct: true,
            onRestart: () => undefined,
            write: async event => {
                text?.add(event.data);
                await call.sink.write(event);
            },
            writeEnd: event => call.sink.write(event),
            beforeEnd: usage => this.#addBill(call, [...earlierLines, createBillLine(version, usage)]),
        });
        this.#recordResult(call, version, result);
        if (result.isErr()) {
            return err(result.error);
        }
        if (text !== undefined) {
            void this.#rateInBackground(call, version, text.getText(), escalatedFrom);
        }
        return ok(toServedRequest(result.value));
    }

    /**
     * Buffers an answer until its rating is known. An accepted answer is sent to the caller, and the served request is
     * returned. Otherwise the answer is billed as a line of the request, and the next step runs.
     */
    async #runRated(
        call: ChatCall,
        step: PlanStep,
        index: number,
        progress: PlanProgress,
    ): Promise<Result<ServedRequest | undefined, Refusal>> {
        const { version } = step;
        const { earlierLines } = progress;
        const bufferedEvents: EngineEvent[] = [];
        let text = new AnswerText();
        let usage: TokenUsage = { inputTokens: 0, cachedTokens: 0, outputTokens: 0 };
        const result = await this.#options.attemptRunner.run({
            call,
            version,
            stepIndex: index,
            earlierLines,
            stepStartedAt: this.#getStepStartedAt(call, index),
            direct: false,
            onRestart: () => {
                bufferedEvents.length = 0;
                text = new AnswerText();
            },
            write: async event => {
                text.add(event.data);
                bufferedEvents.push(event);
            },
            writeEnd: async event => {
                bufferedEvents.push(event);
            },
            beforeEnd: async reportedUsage => {
                usage = reportedUsage;
                return ok(undefined);
            },
        });
        this.#recordResult(call, version, result);
        if (result.isErr()) {
            progress.outcome = combineOutcomes(progress.outcome, result.error.outcome);
            // The next step may still answer; this step produced nothing that can be billed.
            return call.disconnectSignal.aborted || call.deadlineSignal.aborted ? err(result.error) : ok(undefined);
        }
        progress.outcome = "ran";
        const line = createBillLine(version, usage);
        const score = await this.#rateNow(call, version, text.getText());
        const isAccepted = score !== undefined && step.acceptScore !== undefined && score >= step.acceptScore;
        this.#options.explanations.addRating(call.requestId, version.id, score, isAccepted);
        if (!isAccepted) {
            progress.escalatedFrom = score === undefined ? undefined : { version: version.id, score };
            progress.kept = chooseKept(progress.kept, {
                result: result.value,
                events: bufferedEvents,
                version: version.id,
                score,
            });
            earlierLines.push(line);
            return ok(undefined);
        }
        return this.#serveBuffered(call, { result: result.value, events: bufferedEvents }, [...earlierLines, line]);
    }

    /** Sends the answer that was kept, after a later step has failed. Returns undefined if there is none or the caller has left. */
    async #serveKept(
        call: ChatCall,
        { kept, earlierLines }: PlanProgress,
        { message }: Failure,
    ): Promise<Result<ServedRequest, Refusal> | undefined> {
        if (kept === undefined || call.sink.hasStarted || call.disconnectSignal.aborted) {
            return undefined;
        }
        const { version, score } = kept;
        this.#options.journal.write(events.escalationFailed, {
            request: call.requestId,
            model: version,
            confidence: score,
            reason: message,
        });
        return this.#serveBuffered(call, kept, earlierLines);
    }

    async #serveBuffered(
        call: ChatCall,
        { result, events: bufferedEvents }: BufferedAnswer,
        lines: readonly BillLine[],
    ): Promise<Result<ServedRequest, Refusal>> {
        const billed = await this.#addBill(call, lines);
        if (billed.isErr()) {
            return err({ failure: billed.error, outcome: "ran" });
        }
        this.#startBuffered(call, result);
        for (const event of bufferedEvents) {
            await call.sink.write(event);
        }
        return ok(toServedRequest(result));
    }

    /**
     * Starts a buffered answer. The caller receives its first token only now, however early the engine generated it.
     */
    #startBuffered(call: ChatCall, { headers }: AttemptResult): void {
        const milliseconds = this.#options.clock.monotonic() - call.arrivedAt;
        this.#options.metrics.firstToken.observe({ class: call.requestClass }, milliseconds / 1000);
        call.sink.start(headers);
    }

    /**
     * Returns the time from which a step's time to first token is measured. A later step's version did not cause the
     * wait for the earlier answer. Measured from arrival, it would look slow in every cascade, and a roll-out could be
     * halted for that reason.
     */
    #getStepStartedAt(call: ChatCall, index: number): number {
        return index === 0 ? call.arrivedAt : this.#options.clock.monotonic();
    }

    async #rateNow(call: ChatCall, version: ModelVersion, answer: string): Promise<number | undefined> {
        const timeLeftMilliseconds = getTimeLeft(call, this.#options.clock.monotonic());
        const timeoutMilliseconds = Math.max(
            1,
            Math.min(maxRatingMilliseconds, timeLeftMilliseconds * ratingTimeShare),
        );
        const startedAt = this.#options.clock.monotonic();
        const score = await this.#rate(call, version, answer, timeoutMilliseconds);
        this.#options.answerTimes.addRating(this.#options.clock.monotonic() - startedAt);
        this.#addRating(call, version, score, this.#options.clock.wall());
        return score;
    }

    /**
     * Rates an answer that the caller has already received, as evidence. An answer that replaced a rejected one belongs
     * to a more difficult request than most, so it counts among escalations only. Counted among the other ratings, it
     * would make the second version look worse than it is.
     */
    async #rateInBackground(
        call: ChatCall,
        version: ModelVersion,
        answer: string,
        escalatedFrom: RatedStep | undefined,
    ): Promise<void> {
        const answeredAt = this.#options.clock.wall();
        const score = await this.#rate(call, version, answer);
        if (escalatedFrom === undefined) {
            this.#addRating(call, version, score, answeredAt);
        }
        else if (score !== undefined) {
            this.#options.evidence.addEscalation({
                first: escalatedFrom.version,
                second: version.id,
                requestClass: call.requestClass,
                firstScore: escalatedFrom.score,
                secondScore: score,
            });
        }
    }

    /** Counts a rating at the time of its answer, because a change of a version is dated by its answers. */
    #addRating(call: ChatCall, version: ModelVersion, score: number | undefined, answeredAt: number): void {
        if (score !== undefined) {
            const { requestClass } = call;
            this.#options.evidence.addRating({ version: version.id, requestClass, score, answeredAt });
        }
    }

    async #rate(
        call: ChatCall,
        version: ModelVersion,
        answer: string,
        timeoutMilliseconds?: number,
    ): Promise<number | undefined> {
        const rated = await this.#options.ratings.rate({
            id: call.requestId,
            version: version.id,
            requestClass: call.requestClass,
            question: call.request.promptText,
            answer,
        }, timeoutMilliseconds);
        const score = rated.unwrapOr(undefined);
        if (score !== undefined) {
            const labels = { version: version.id, class: call.requestClass };
            this.#options.metrics.ratingSum.inc(labels, score);
            this.#options.metrics.ratingCount.inc(labels);
        }
        return score;
    }

    #recordResult(call: ChatCall, version: ModelVersion, result: Result<AttemptResult, Refusal>): void {
        if (result.isErr() && (call.disconnectSignal.aborted || result.error.outcome === "not-run")) {
            // A disconnected caller or a pool without free capacity says nothing about the version.
            return;
        }
        this.#options.evidence.addAnswer({
            version: version.id,
            requestClass: call.requestClass,
            failed: result.isErr(),
            slow: result.isOk() && result.value.firstTokenMilliseconds > call.settings.firstTokenMilliseconds,
        });
        if (result.isOk()) {
            const { firstTokenMilliseconds: firstToken, milliseconds: totalMilliseconds } = result.value;
            this.#options.answerTimes.add(version.id, call.requestClass, { firstToken, total: totalMilliseconds });
            this.#options.metrics.answers.inc({ version: version.id, class: call.requestClass });
            if (version.status === "candidate") {
                this.#options.metrics.candidateAnswers.inc({ version: version.id });
            }
        }
    }

    async #addBill(call: ChatCall, lines: readonly BillLine[]): Promise<Result<void, Failure>> {
        const bill = createBill(call, lines, this.#options.entry, this.#options.clock.wall());
        const added = await this.#options.bills.add(bill);
        if (added.isErr()) {
            return err(added.error);
        }
        this.#options.metrics.cost.inc({ workspace: call.workspace, class: call.requestClass }, bill.total);
        this.#options.journal.write(events.requestBilled, { request: call.requestId, total: bill.total });
        return ok(undefined);
    }
}

/** Chooses between two answers that were not accepted: the better one, and of equal ones the later. */
function chooseKept(first: KeptAnswer | undefined, second: KeptAnswer): KeptAnswer {
    return first !== undefined && (first.score ?? 0) > (second.score ?? 0) ? first : second;
}

function toServedRequest(
    attempt: { readonly firstTokenMilliseconds: number; readonly usage: TokenUsage; },
): ServedRequest {
    return {
        outcome: "ok",
        firstTokenMilliseconds: attempt.firstTokenMilliseconds,
        tokens: attempt.usage.inputTokens + attempt.usage.outputTokens,
    };
}
