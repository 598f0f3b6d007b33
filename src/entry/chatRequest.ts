/**
 * Parses and validates the bodies of chat completions.
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
    n: z.literal(1, "must be 1: send another request for another answer").nullish(),
});

/** Characters of prompt text per token, for estimates. */
const charactersPerToken = 4;
/** Estimated tokens of an answer, unless its limit is lower. */
const defaultOutputTokens = 200;
/** The `model` with which a caller leaves the choice to the router. */
export const automaticModel = "auto";

/** Represents a validated chat completion. */
export interface ChatRequest {
    /** The body as the caller sent it. */
    readonly body: Readonly<Record<string, unknown>>;
    /** `auto`, a model, or a version of a model. */
    readonly model: string;
    readonly streamed: boolean;
    /** All messages as one text, whose prefix blocks are hashed. */
    readonly promptText: string;
    /** The messages as texts. Prompts of a conversation, or with the same instructions, share all but the last of them. */
    readonly promptParts: readonly string[];
    readonly estimatedInputTokens: number;
    readonly estimatedOutputTokens: number;
}

/**
 * Parses and validates a body.
 * @param text - JSON text.
 * @param maxTokens - Maximum number of answer tokens that the workspace allows.
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
        return err(createMalformedFailure(`The body is not a chat completion: ${z.prettifyError(parsed.error)}.`));
    }
    const requestedTokens = parsed.data.max_completion_tokens ?? parsed.data.max_tokens ?? undefined;
    const outputLimit = Math.min(requestedTokens ?? maxTokens, maxTokens);
    const promptParts = getPromptParts(parsed.data.messages);
    const promptText = promptParts.join("");
    return ok({
        body: { ...parsed.data, max_tokens: outputLimit },
        model: parsed.data.model,
        streamed: parsed.data.stream === true,
        promptText,
        promptParts,
        estimatedInputTokens: Math.ceil(promptText.length / charactersPerToken),
        estimatedOutputTokens: Math.min(outputLimit, defaultOutputTokens),
    });
}

function getPromptParts(messages: readonly z.infer<typeof messageSchema>[]): readonly string[] {
    return messages.map(message => `${message.role}\n${getContentText(message.content)}\n`);
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
