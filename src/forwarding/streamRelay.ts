/**
 * Relays the answers of runners to the caller of a stream, and notices when a runner sends nothing for a time.
 */
import { isEndless } from "../connections/index.js";
import { events, type Journal } from "../events/index.js";
import { type AnswerBuffers, oversizedReason } from "./answerBuffers.js";
import { type AnswerEnd, judgeAnswerEnd } from "./answerEnd.js";
import { recheckMilliseconds } from "./callCancellation.js";
import type { Exchange } from "./exchange.js";
import type { StreamAnswer } from "./streamAnswer.js";

/**
 * A resumable stream whose runner sends nothing for this factor times the pause objective is resumed at another runner, if one takes
 * it. Callers give up after eight times the objective.
 */
const pauseTimeoutFactor = 2;
/** A sound runner may send nothing for a second. Callers wait for two at least. */
const minPauseTimeoutMilliseconds = 1_300;
/** Pause objective of routes that configure none. */
const defaultPauseMilliseconds = 1_000;

/** Result of relaying an answer. */
export type RelayResult =
    | { readonly kind: "ended"; readonly end: Exclude<AnswerEnd, "inside-event">; }
    | { readonly kind: "silent"; readonly reason: string; }
    | { readonly kind: "broken"; readonly reason: string; readonly isDisconnected: boolean; };

/** Options of `StreamRelay`. */
export interface StreamRelayOptions {
    readonly exchange: Exchange;
    /** Bounds the events that are read. */
    readonly answerBuffers: AnswerBuffers;
    readonly journal: Journal;
    /** Admits the next attempt if another runner has room for the request now. Returns whether it has. */
    readonly reserveBeside: () => boolean;
}

/** Relays the answers of one stream, one after the other. */
export class StreamRelay {
    readonly #options: StreamRelayOptions;
    #lastEventId: string | undefined;

    constructor(options: StreamRelayOptions) {
        this.#options = options;
        this.#lastEventId = options.exchange.request.lastEventId;
    }

    /** Identifier of the last event that was relayed, after which another runner goes on. */
    get lastEventId(): string | undefined {
        return this.#lastEventId;
    }

    /** Relays an answer event by event until it ends, breaks off, or is silent and the next attempt is admitted. */
    async relay(relayed: StreamAnswer): Promise<RelayResult> {
        const { reply, ended } = this.#options.exchange;
        const { attempt, body } = relayed;
        const isEventStream = relayed.form === "events";
        const buffer = this.#options.answerBuffers.add(attempt.upstream.id, attempt.cancel);
        let passedBytes = 0;
        try {
            for (;;) {
                if (!await this.#waitForPiece(relayed)) {
                    return { kind: "silent", reason: `no data for ${this.#getPauseTimeout()} ms` };
                }
                const bytes = await body.read();
                if (bytes === undefined) {
                    break;
                }
                this.endSilence(relayed, "went-on");
                attempt.markSeen();
                await (isEventStream ? this.#writeEvents(relayed, bytes) : reply.write(bytes));
                passedBytes += bytes.length;
                // What is no stream of events may be no larger than an answer that is read completely.
                buffer.hold(isEventStream ? relayed.splitter.remainderLength : passedBytes);
                if (buffer.isGivenUp) {
                    return { kind: "broken", reason: oversizedReason, isDisconnected: false };
                }
                if (reply.disconnected.aborted) {
                    return { kind: "broken", reason: "the caller has left", isDisconnected: false };
                }
            }
            return await this.#evaluateEnd(relayed);
        }
        catch (cause) {
            if (buffer.isGivenUp) {
                return { kind: "broken", reason: oversizedReason, isDisconnected: false };
            }
            const reason = ended.aborted ? String(ended.reason) : String(cause);
            return { kind: "broken", reason, isDisconnected: !ended.aborted && !isEndless(cause) };
        }
        finally {
            buffer.close();
        }
    }

    /**
     * Waits until a runner sends something. A sound one may be silent for a while and go on, so it is given up only for another one
     * that has room for the request.
     * @returns Whether there is something to read. Otherwise the next attempt is admitted.
     */
    async #waitForPiece(relayed: StreamAnswer): Promise<boolean> {
        const { route } = this.#options.exchange;
        if (!route.isResumable || relayed.form !== "events") {
            return true;
        }
        let milliseconds = relayed.silentSince === undefined ? this.#getPauseTimeout() : recheckMilliseconds;
        while (!await relayed.body.waitForPiece(milliseconds)) {
            relayed.attempt.markSilent();
            relayed.silentSince ??= this.#options.exchange.getElapsed() - milliseconds;
            if (this.#options.reserveBeside()) {
                return false;
            }
            milliseconds = recheckMilliseconds;
        }
        return true;
    }

    /** Records the end of a silence, if there was one. */
    endSilence(answer: StreamAnswer, end: "went-on" | "replaced" | "ended"): void {
        if (answer.silentSince === undefined) {
            return;
        }
        this.#options.journal.write(events.silenceEnded, {
            request: this.#options.exchange.request.id,
            upstream: answer.attempt.upstream.id,
            end,
            silentMs: Math.round(this.#options.exchange.getElapsed() - answer.silentSince),
        });
        answer.silentSince = undefined;
    }

    /** Returns the time without data after which another runner is asked, in milliseconds. */
    #getPauseTimeout(): number {
        const objective = this.#options.exchange.route.pauseObjectiveMilliseconds ?? defaultPauseMilliseconds;
        return Math.max(minPauseTimeoutMilliseconds, objective * pauseTimeoutFactor);
    }

    async #evaluateEnd({ attempt, form, splitter }: StreamAnswer): Promise<RelayResult> {
        const end = judgeAnswerEnd(attempt.answer, form, splitter);
        if (end === "inside-event") {
            const isDisconnected = !attempt.answer.hasKnownEnd;
            return { kind: "broken", reason: "the answer ended inside an event", isDisconnected };
        }
        const remainder = splitter.getRemainder();
        if (remainder.length > 0) {
            await this.#options.exchange.reply.write(remainder);
        }
        return { kind: "ended", end };
    }

    async #writeEvents({ splitter }: StreamAnswer, bytes: Buffer): Promise<void> {
        for (const event of splitter.push(bytes)) {
            this.#lastEventId = event.id ?? this.#lastEventId;
            await this.#options.exchange.reply.write(event.bytes);
        }
    }
}
