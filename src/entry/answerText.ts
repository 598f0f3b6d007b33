/**
 * Assembles the chunks of a streamed answer.
 */

interface ChatChunk {
    readonly created?: number;
    readonly choices?: readonly {
        readonly delta?: { readonly content?: string; };
        readonly finish_reason?: string;
    }[];
}

/** Collects the text of an answer from its chunks. */
export class AnswerText {
    readonly #chunks: string[] = [];
    #finishReason = "stop";

    /**
     * Adds a chunk.
     * @param data - JSON text of the chunk.
     */
    add(data: string): void {
        const chunk = JSON.parse(data) as ChatChunk;
        const choice = chunk.choices?.[0];
        if (choice?.delta?.content !== undefined) {
            this.#chunks.push(choice.delta.content);
        }
        if (typeof choice?.finish_reason === "string") {
            this.#finishReason = choice.finish_reason;
        }
    }

    /** Returns the text received so far. */
    getText(): string {
        return this.#chunks.join("");
    }

    /** Returns the finish reason that the engine reported, or `stop` if it reported none. */
    getFinishReason(): string {
        return this.#finishReason;
    }
}
