/**
 * Bodies of chat completions, checked before anything else looks at them.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";

const maxMessages = 4096;

const contentSchema = z.union([
    z.string(),
    z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
]);

const messageSchema = z.looseObject({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: contentSchema.nullish(),
});

const chatSchema = z.looseObject({
    model: z.string().min(1).max(200),
    messages: z.array(messageSchema).min(1).max(maxMessages),
    stream: z.boolean().nullish(),
    max_tokens: z.number().int().positive().nullish(),
    max_completion_tokens: z.number().int().positive().nullish(),
    n: z.literal(1, "must be 1: ask again for another answer").nullish(),
});

/** Characters of prompt text that count as one token in estimates. */
const charactersPerToken = 4;
/** Tokens of an answer that are expected when the caller set no maximum. */
const defaultOutputTokens = 200;
/** The `model` with which a caller leaves the choice to the router. */
export const automaticModel = "auto";

/** A checked chat completion. */
export interface ChatRequest {
    /** The body as the caller sent it. */
    readonly body: Readonly<Record<string, unknown>>;
    /** `auto`, a model, or a version of a model. */
    readonly model: string;
    readonly streamed: boolean;
    /** Messages as one text, from which prefix blocks are hashed. */
    readonly promptText: string;
    readonly estimatedInputTokens: number;
    readonly estimatedOutputTokens: number;
}

/**
 * Checks a body.
 * @param text - JSON text.
 * @param maxTokens - Tokens of an answer that the workspace allows.
 */
export function parseChatRequest(text: string, maxTokens: number): Result<ChatRequest, Failure> {
    let body: unknown;
    try {
        body = JSON.parse(text);
    }
    catch (error) {
        return err(createMalformedFailure(`The body is not JSON: ${(error as Error).message}.`));
    }
    const parsed = chatSchema.safeParse(body);
    if (!parsed.success) {
        return err(createMalformedFailure(`The body is no chat completion: ${z.prettifyError(parsed.error)}.`));
    }
    const requestedTokens = parsed.data.max_completion_tokens ?? parsed.data.max_tokens ?? undefined;
    const outputLimit = Math.min(requestedTokens ?? maxTokens, maxTokens);
    const promptText = getPromptText(parsed.data.messages);
    return ok({
        body: { ...parsed.data, max_tokens: outputLimit },
        model: parsed.data.model,
        streamed: parsed.data.stream === true,
        promptText,
        estimatedInputTokens: Math.ceil(promptText.length / charactersPerToken),
        estimatedOutputTokens: Math.min(outputLimit, defaultOutputTokens),
    });
}

function getPromptText(messages: readonly z.infer<typeof messageSchema>[]): string {
    let text = "";
    for (const message of messages) {
        text += `${message.role}\n${getContentText(message.content)}\n`;
    }
    return text;
}

function getContentText(content: z.infer<typeof contentSchema> | null | undefined): string {
    if (typeof content === "string") {
        return content;
    }
    let text = "";
    for (const part of content ?? []) {
        text += part.text ?? "";
    }
    return text;
}

function createMalformedFailure(message: string): Failure {
    return new Failure({
        kind: "invalid-input",
        message,
        remedy: "Send a body as the chat-completions API defines it.",
    });
}
