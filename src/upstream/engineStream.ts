/**
 * Streamed answers of model engines.
 */
import { createParser } from "eventsource-parser";
import { Failure } from "../common/index.js";

/** One server-sent event of an answer. */
export interface EngineEvent {
    /** Position in the stream, counted from 1 without gaps. */
    readonly id: number;
    /** JSON text of a chunk, or `[DONE]`. */
    readonly data: string;
}

/** Token counts of an answer. */
export interface TokenUsage {
    readonly inputTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
}

/** Largest event that is read. An event carries the text of a few tokens. */
const maxEventBytes = 1024 * 1024;

/** Marks the end of a stream. */
export const endOfStream = "[DONE]";

/**
 * Reads the events of an answer in order.
 *
 * Repeated events are skipped. A gap in the numbers means that a part of the answer is missing. It ends the reading with a
 * failure, because a caller must never receive an answer with a gap.
 * @param body - Body of the engine's response.
 * @param lastId - Number of the last event already read; 0 at the start.
 */
export async function* readEvents(body: AsyncIterable<Uint8Array>, lastId: number): AsyncGenerator<EngineEvent> {
    const parsedEvents: EngineEvent[] = [];
    let lastReadId = lastId;
    const parser = createParser({
        onEvent: event => {
            const id = event.id === undefined ? lastReadId + 1 : Number(event.id);
            parsedEvents.push({ id, data: event.data });
        },
    });
    const decoder = new TextDecoder();
    let incompleteBytes = 0;
    for await (const bytes of body) {
        incompleteBytes += bytes.byteLength;
        parser.feed(decoder.decode(bytes, { stream: true }));
        if (parsedEvents.length > 0) {
            incompleteBytes = 0;
        }
        if (incompleteBytes > maxEventBytes) {
            throw createEndlessFailure(lastReadId);
        }
        for (const event of parsedEvents.splice(0)) {
            if (event.id <= lastReadId) {
                continue;
            }
            if (event.id !== lastReadId + 1) {
                throw createGapFailure(lastReadId, event.id);
            }
            lastReadId = event.id;
            yield event;
            if (event.data === endOfStream) {
                return;
            }
        }
    }
    throw createTruncatedFailure(lastReadId);
}

/** The part of a chunk that contains the token usage. */
interface UsageChunk {
    readonly usage?: {
        readonly prompt_tokens?: number;
        readonly completion_tokens?: number;
        readonly prompt_tokens_details?: { readonly cached_tokens?: number; };
    };
}

/**
 * Returns the token usage if a chunk contains it. Only the last chunk of an answer does.
 * @param data - JSON text of the chunk.
 */
export function readUsage(data: string): TokenUsage | undefined {
    if (!data.includes("\"usage\":{")) {
        return undefined;
    }
    const usage = (JSON.parse(data) as UsageChunk).usage;
    if (usage === undefined) {
        return undefined;
    }
    return {
        inputTokens: usage.prompt_tokens ?? 0,
        cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
        outputTokens: usage.completion_tokens ?? 0,
    };
}

function createGapFailure(lastReadId: number, found: number): Failure {
    return new Failure({
        kind: "protocol",
        message: `The answer's stream jumps from event ${lastReadId} to event ${found}.`,
        remedy: "Resume the stream after the last event in order.",
    });
}

function createEndlessFailure(lastReadId: number): Failure {
    return new Failure({
        kind: "protocol",
        message: `The event after event ${lastReadId} of the answer's stream has no end within ${maxEventBytes} bytes.`,
        remedy: "Resume the stream after the last event in order.",
    });
}

function createTruncatedFailure(lastReadId: number): Failure {
    return new Failure({
        kind: "upstream-failed",
        message: `The answer's stream ended after event ${lastReadId} without its end marker.`,
        remedy: "Resume the stream after that event.",
    });
}
