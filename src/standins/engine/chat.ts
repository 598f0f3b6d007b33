/**
 * Bodies of chat completion requests, answers and chunks.
 */
import { z } from "zod";

const contentPart = z.object({ type: z.string(), text: z.string().optional() });

const chatSchema = z.object({
    model: z.string(),
    messages: z.array(z.object({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPart)]).nullish(),
    })),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().min(1).nullish(),
    max_completion_tokens: z.number().int().min(1).nullish(),
});

const charactersPerToken = 4;

/** Parts of a request's body that the engine uses. */
export interface ChatRequest {
    readonly model: string;
    readonly prompt: string;
    readonly stream: boolean;
    readonly maxTokens: number;
}

/** Token counts of an answer. */
export interface Usage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
}

/** Parses a request's body. Returns undefined when it is not a chat completion request. */
export function readChatRequest(body: unknown): ChatRequest | undefined {
    const parsed = chatSchema.safeParse(body);
    if (!parsed.success) {
        return undefined;
    }
    const { model, messages, stream, max_tokens: legacyLimit, max_completion_tokens: limit } = parsed.data;
    let prompt = "";
    for (const { role, content } of messages) {
        const text = typeof content === "string" ? content : (content ?? []).map(part => part.text ?? "").join("");
        prompt += `${role}\n${text}\n`;
    }
    return { model, prompt, stream: stream === true, maxTokens: limit ?? legacyLimit ?? Number.MAX_SAFE_INTEGER };
}

/** Returns the number of tokens of a text, at four characters per token. */
export function countTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Returns a chunk with a part of the answer, as JSON. */
export function createChunk(id: string, model: string, delta: object, finishReason?: string): string {
    return JSON.stringify({
        ...createBaseFields(id, model, "chat.completion.chunk"),
        choices: [{ index: 0, delta, finish_reason: finishReason }],
    });
}

/** Returns the chunk with the token counts, as JSON. */
export function createUsageChunk(id: string, model: string, usage: Usage): string {
    const baseFields = createBaseFields(id, model, "chat.completion.chunk");
    return JSON.stringify({ ...baseFields, choices: [], usage: createUsage(usage) });
}

/** Returns the body of a complete answer. */
export function createCompletion(
    id: string,
    model: string,
    content: string,
    finishReason: string,
    usage: Usage,
): object {
    return {
        ...createBaseFields(id, model, "chat.completion"),
        choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: finishReason }],
        usage: createUsage(usage),
    };
}

function createBaseFields(id: string, model: string, object: string): object {
    return { id, object, created: Math.floor(Date.now() / 1000), model };
}

function createUsage(usage: Usage): object {
    return {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.outputTokens,
        total_tokens: usage.promptTokens + usage.outputTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    };
}
