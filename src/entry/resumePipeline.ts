/**
 * Resumes a stream that broke between a caller and another entry.
 */
import { err, ok, type Result } from "neverthrow";
import type { BillWriter } from "../bills/index.js";
import { type Clock, Failure } from "../common/index.js";
import type { Configuration } from "../configuration/index.js";
import { events, type Journal } from "../events/index.js";
import type { EngineClient } from "../upstream/index.js";
import type { Vm } from "../world/index.js";
import { relayAnswer } from "./answerRelay.js";
import type { AnswerSink } from "./answerSink.js";
import { createBill, createBillLine } from "./callBill.js";
import type { CallerIdentity } from "./callerIdentity.js";
import type { Refusal } from "./problem.js";
import { readResumeToken, type ResumePoint } from "./resumeToken.js";
import { isUnanswered, resumeStream } from "./streamResumption.js";

/** Time after which an answer may be resumed again whose engine does not answer, in milliseconds. */
const retryMilliseconds = 1_000;

/** Options of the pipeline. */
export interface ResumePipelineOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly engines: Pick<EngineClient, "resume">;
    readonly bills: Pick<BillWriter, "add">;
    readonly getConfiguration: () => Configuration;
    readonly getUpstream: (id: string) => Vm | undefined;
    readonly signingKey: string;
    /** Name of this entry. */
    readonly entry: string;
}

/** Represents a caller's request for the rest of its answer. */
export interface Resumption {
    readonly token: string;
    /** Number of the last event that the caller received. */
    readonly lastId: number;
    readonly identity: CallerIdentity;
    readonly sink: AnswerSink;
    readonly disconnectSignal: AbortSignal;
}

/** Resumes streams. */
export class ResumePipeline {
    readonly #options: ResumePipelineOptions;

    constructor(options: ResumePipelineOptions) {
        this.#options = options;
    }

    /**
     * Sends the rest of an answer.
     * @param resumption - The caller's request.
     */
    async run(resumption: Resumption): Promise<Result<void, Refusal>> {
        const point = readResumeToken(resumption.token, this.#options.signingKey);
        if (point === undefined || point.workspace !== resumption.identity.workspace) {
            return err({ failure: createTokenFailure(), outcome: "unknown" });
        }
        if (!Number.isSafeInteger(resumption.lastId) || resumption.lastId < 0) {
            return err({ failure: createEventIdFailure(), outcome: "unknown" });
        }
        const runner = this.#options.getUpstream(point.runner);
        if (runner === undefined) {
            return err({ failure: createAnswerExpiredFailure(), outcome: "unknown" });
        }
        return this.#relay(resumption, point, runner);
    }

    async #relay(resumption: Resumption, point: ResumePoint, runner: Vm): Promise<Result<void, Refusal>> {
        const { engines, journal } = this.#options;
        const { lastId, disconnectSignal: signal } = resumption;
        const stream = { engines, runner, streamId: point.streamId, lastId, signal };
        const answered = await resumeStream(stream);
        if (answered.isErr()) {
            const failure = isUnanswered(answered.error)
                ? createNoAnswerFailure(runner.id)
                : createAnswerExpiredFailure();
            return err({ failure, outcome: "unknown" });
        }
        journal.write(events.streamResumed, { request: point.requestId, from: lastId });
        resumption.sink.start({ "x-request-id": point.requestId, "x-rattanlock-version": point.version });
        const relayed = await relayAnswer({
            ...stream,
            answer: answered.value,
            onFirstEvent: () => undefined,
            write: event => resumption.sink.write(event),
            beforeEnd: usage => this.#bill(point, usage),
        });
        return relayed.map(() => undefined);
    }

    /**
     * Bills the answer like the entry from which the caller was disconnected. If both entries bill it, the ledger
     * counts one bill, because the request is the same.
     */
    async #bill(point: ResumePoint, usage: Parameters<typeof createBillLine>[1]): Promise<Result<void, Failure>> {
        const version = this.#options.getConfiguration().getVersion(point.version);
        if (version === undefined) {
            return err(createAnswerExpiredFailure());
        }
        const lines = [...point.earlierLines, createBillLine(version, usage)];
        const bill = createBill(
            { ...point, session: point.session },
            lines,
            this.#options.entry,
            this.#options.clock.wall(),
        );
        const added = await this.#options.bills.add(bill);
        return added.isErr() ? err(added.error) : ok(undefined);
    }
}

function createTokenFailure(): Failure {
    return new Failure({
        kind: "not-allowed",
        message: "The resume token does not belong to this workspace.",
        remedy: "Send the X-Rattanlock-Resume header of the answer that broke, with the same API key.",
    });
}

function createEventIdFailure(): Failure {
    return new Failure({
        kind: "invalid-input",
        message: "Last-Event-ID is not the number of an event.",
        remedy: "Send the id of the last event that arrived completely, or 0.",
    });
}

function createNoAnswerFailure(runner: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `The engine ${runner}, which holds the rest of the answer, does not answer.`,
        remedy: "Resume the answer again, with the same token and Last-Event-ID.",
        retryAfterMilliseconds: retryMilliseconds,
    });
}

function createAnswerExpiredFailure(): Failure {
    return new Failure({
        kind: "gone",
        message: "The rest of the answer is no longer available.",
        remedy: "Send the request again.",
    });
}
