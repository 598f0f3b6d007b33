/**
 * One request's run on the engine, from its arrival to its end.
 */
import { systemClock } from "../../common/index.js";
import { createAnswerTokens, drawAnswerTokens, drawError, drawQuality, getAnswerHash } from "./answer.js";
import { AnswerStream } from "./answerStream.js";
import type { Sequence } from "./batch.js";
import { type ChatRequest, countTokens, createChunk, createUsageChunk, type Usage } from "./chat.js";
import { type EngineConditions, getTrueQuality, getVersionBehaviour } from "./engineConditions.js";
import { blockTokens, type PrefixCache } from "./prefixCache.js";

/** Options of a run. */
export interface EngineRunOptions {
    readonly request: string;
    readonly requestClass: string;
    readonly priority: number;
    readonly chat: ChatRequest;
    /** The version that actually runs. */
    readonly version: string;
    readonly blocks: readonly string[];
    readonly cache: PrefixCache;
    readonly getConditions: () => EngineConditions;
}

/** Journal entry of a request: the ground truth that tests compare with. */
export interface RunJournalEntry {
    readonly kind: "request";
    readonly id: string;
    /** Requested version. */
    readonly asked: string;
    /** Version that actually ran. */
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

/** Produces one answer as part of the batch. */
export class EngineRun {
    /** The answer's events as they are produced. */
    readonly stream = new AnswerStream();
    readonly journalEntry: RunJournalEntry;
    readonly sequence: Sequence;
    readonly blocks: readonly string[];
    readonly #options: EngineRunOptions;
    readonly #tokens: readonly string[];
    readonly #shouldFail: boolean;
    #producedCount = 0;

    constructor(options: EngineRunOptions) {
        const { request, version, chat, requestClass } = options;
        const conditions = options.getConditions();
        const behaviour = getVersionBehaviour(conditions, version);
        const mean = getTrueQuality(behaviour, requestClass);
        const quality = drawQuality(request, version, mean, conditions.qualitySpread);
        const tokens = Math.min(chat.maxTokens, drawAnswerTokens(request, behaviour.outputTokens));
        this.#options = options;
        this.blocks = options.blocks;
        this.#tokens = createAnswerTokens({ request, version, quality, tokens });
        this.#shouldFail = drawError(request, version, behaviour.errorRate);
        this.journalEntry = createJournalEntry(options, quality);
        this.sequence = {
            priority: options.priority,
            memoryTokens: this.journalEntry.promptTokens + this.#tokens.length,
            getSpeed: () => getVersionBehaviour(options.getConditions(), version).speed,
            start: () => this.#start(),
            finishPrefill: () => options.cache.add(version, options.blocks),
            produceToken: () => this.#produce(),
        };
    }

    /** Returns the text produced so far. */
    getText(): string {
        return this.#tokens.slice(0, this.#producedCount).join("");
    }

    /** Returns why the answer ended. */
    getFinishReason(): string {
        return this.#tokens.length >= this.#options.chat.maxTokens ? "length" : "stop";
    }

    /** Returns the token counts so far. */
    getUsage(): Usage {
        const { promptTokens, cachedTokens } = this.journalEntry;
        return { promptTokens, cachedTokens, outputTokens: this.#producedCount };
    }

    /** Ends the run before its answer is complete. */
    cancel(): void {
        this.#end("cancelled");
    }

    #start(): number {
        const { cache, version, blocks } = this.#options;
        const cached = blockTokens * cache.getCachedCount(version, blocks);
        this.journalEntry.startedAt = systemClock.wall();
        this.journalEntry.outcome = "running";
        this.journalEntry.cachedTokens = Math.min(cached, this.journalEntry.promptTokens - 1);
        return this.journalEntry.promptTokens - this.journalEntry.cachedTokens;
    }

    #produce(): boolean {
        if (this.#shouldFail) {
            this.#end("failed");
            return true;
        }
        const content = this.#tokens[this.#producedCount];
        const delta = this.#producedCount === 0 ? { role: "assistant", content } : { content };
        this.#producedCount += 1;
        this.journalEntry.firstTokenAt ??= systemClock.wall();
        this.journalEntry.outputTokens = this.#producedCount;
        this.stream.add(createChunk(this.#getAnswerId(), this.#options.version, delta));
        if (this.#producedCount < this.#tokens.length) {
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
        this.journalEntry.endedAt = systemClock.wall();
        this.journalEntry.outcome = outcome;
        this.journalEntry.answerHash = getAnswerHash(this.getText());
        this.stream.close(outcome);
    }

    #getAnswerId(): string {
        return `chatcmpl-${this.#options.request}`;
    }
}

function createJournalEntry(options: EngineRunOptions, quality: number): RunJournalEntry {
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
