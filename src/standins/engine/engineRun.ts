/**
 * One request's run on the engine, from its arrival to its end.
 */
import { systemClock } from "../../common/index.js";
import { createAnswerTokens, drawAnswerTokens, drawError, drawQuality, getAnswerHash } from "./answer.js";
import { AnswerStream } from "./answerStream.js";
import type { Sequence } from "./batch.js";
import { type ChatRequest, countTokens, createChunk, createUsageChunk, type Usage } from "./chat.js";
import { type EngineConditions, getTrueQuality, getTruth } from "./engineConditions.js";
import { blockTokens, type PrefixCache } from "./prefixCache.js";

/** What a run is made from. */
export interface EngineRunOptions {
    readonly request: string;
    readonly requestClass: string;
    readonly priority: number;
    readonly chat: ChatRequest;
    /** The version that runs in truth. */
    readonly version: string;
    readonly blocks: readonly string[];
    readonly cache: PrefixCache;
    readonly getConditions: () => EngineConditions;
}

/** What the engine notes of a request: the truth that tests judge by. */
export interface RunNote {
    readonly kind: "request";
    readonly id: string;
    /** Version asked for. */
    readonly asked: string;
    /** Version that ran. */
    readonly ran: string;
    readonly class: string;
    readonly priority: number;
    readonly arrivedAt: number;
    startedAt?: number;
    firstTokenAt?: number;
    endedAt?: number;
    outcome: "waiting" | "running" | "finished" | "failed" | "cancelled";
    promptTokens: number;
    cachedTokens: number;
    outputTokens: number;
    quality?: number;
    answerHash?: string;
}

/** Produces one answer inside the batch. */
export class EngineRun {
    /** The answer as it comes. */
    readonly stream = new AnswerStream();
    readonly note: RunNote;
    readonly sequence: Sequence;
    readonly blocks: readonly string[];
    readonly #options: EngineRunOptions;
    readonly #tokens: readonly string[];
    readonly #fails: boolean;
    #produced = 0;

    constructor(options: EngineRunOptions) {
        const { request, version, chat, requestClass } = options;
        const conditions = options.getConditions();
        const truth = getTruth(conditions, version);
        const mean = getTrueQuality(truth, requestClass);
        const quality = drawQuality(request, version, mean, conditions.qualitySpread);
        const tokens = Math.min(chat.maximumTokens, drawAnswerTokens(request, truth.outputTokens));
        this.#options = options;
        this.blocks = options.blocks;
        this.#tokens = createAnswerTokens({ request, version, quality, tokens });
        this.#fails = drawError(request, version, truth.errorRate);
        this.note = createNote(options, quality);
        this.sequence = {
            priority: options.priority,
            memoryTokens: this.note.promptTokens + this.#tokens.length,
            getSpeed: () => getTruth(options.getConditions(), version).speed,
            begin: () => this.#begin(),
            finishPrefill: () => options.cache.add(version, options.blocks),
            produce: () => this.#produce(),
        };
    }

    /** Returns the text produced so far. */
    getText(): string {
        return this.#tokens.slice(0, this.#produced).join("");
    }

    /** Returns why the answer ended. */
    getFinishReason(): string {
        return this.#tokens.length >= this.#options.chat.maximumTokens ? "length" : "stop";
    }

    /** Returns the tokens spent so far. */
    getUsage(): Usage {
        const { promptTokens, cachedTokens } = this.note;
        return { promptTokens, cachedTokens, outputTokens: this.#produced };
    }

    /** Ends the run before its time. */
    cancel(): void {
        this.#end("cancelled");
    }

    #begin(): number {
        const { cache, version, blocks } = this.#options;
        const cached = blockTokens * cache.getCachedCount(version, blocks);
        this.note.startedAt = systemClock.wall();
        this.note.outcome = "running";
        this.note.cachedTokens = Math.min(cached, this.note.promptTokens - 1);
        return this.note.promptTokens - this.note.cachedTokens;
    }

    #produce(): boolean {
        if (this.#fails) {
            this.#end("failed");
            return true;
        }
        const content = this.#tokens[this.#produced];
        const delta = this.#produced === 0 ? { role: "assistant", content } : { content };
        this.#produced += 1;
        this.note.firstTokenAt ??= systemClock.wall();
        this.note.outputTokens = this.#produced;
        this.stream.add(createChunk(this.#getAnswerId(), this.#options.version, delta));
        if (this.#produced < this.#tokens.length) {
            return false;
        }
        this.#finish();
        return true;
    }

    #finish(): void {
        const id = this.#getAnswerId();
        const { version } = this.#options;
        this.stream.add(createChunk(id, version, {}, this.getFinishReason()));
        this.stream.add(createUsageChunk(id, version, this.getUsage()));
        this.stream.add("[DONE]");
        this.#end("finished");
    }

    #end(outcome: "finished" | "failed" | "cancelled"): void {
        if (this.stream.isClosed()) {
            return;
        }
        this.note.endedAt = systemClock.wall();
        this.note.outcome = outcome;
        this.note.answerHash = getAnswerHash(this.getText());
        this.stream.close(outcome);
    }

    #getAnswerId(): string {
        return `chatcmpl-${this.#options.request}`;
    }
}

function createNote(options: EngineRunOptions, quality: number): RunNote {
    return {
        kind: "request",
        id: options.request,
        asked: options.chat.model,
        ran: options.version,
        class: options.requestClass,
        priority: options.priority,
        arrivedAt: systemClock.wall(),
        outcome: "waiting",
        promptTokens: Math.max(1, countTokens(options.chat.prompt)),
        cachedTokens: 0,
        outputTokens: 0,
        quality,
    };
}
