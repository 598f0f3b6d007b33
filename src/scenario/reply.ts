/**
 * A request that a scenario sent, and what came back.
 */
import { createParser } from "eventsource-parser";
import { type Call, call } from "../testbench/index.js";

/** What a sent request ended with. */
export interface SentReply {
    /** 0 when the connection failed. */
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
    /** Text of the answer, of whatever shape the body has. */
    readonly answer: string;
    /** What the refusal says of whether it ran. */
    readonly outcome: string | undefined;
    /** Whether the answer came to its end. */
    readonly isComplete: boolean;
}

interface Body {
    readonly outcome?: string;
    readonly choices?: readonly { readonly message?: { readonly content?: string; }; }[];
}

interface Chunk {
    readonly choices: readonly { readonly delta?: { readonly content?: string; }; }[];
}

/** Sends a request and waits for its end, whatever that is. */
export async function sendRequest(options: Call): Promise<SentReply> {
    try {
        const { status, headers, text, isTruncated } = await call({ ...options, allowsPartialBody: true });
        const isStream = String(headers["content-type"]).startsWith("text/event-stream");
        const content = isStream ? readStream(text) : readBody(status, text);
        return { status, headers, text, ...content, isComplete: content.isComplete && !isTruncated };
    }
    catch (error) {
        return { status: 0, headers: {}, text: String(error), answer: "", outcome: undefined, isComplete: false };
    }
}

function readStream(text: string): Pick<SentReply, "answer" | "isComplete" | "outcome"> {
    let answer = "";
    let isComplete = false;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                isComplete = true;
                return;
            }
            answer += (JSON.parse(data) as Chunk).choices?.[0]?.delta?.content ?? "";
        },
    });
    parser.feed(text);
    return { answer, outcome: undefined, isComplete };
}

function readBody(status: number, text: string): Pick<SentReply, "answer" | "isComplete" | "outcome"> {
    let body: Body;
    try {
        body = JSON.parse(text) as Body;
    }
    catch {
        return { answer: text, outcome: undefined, isComplete: status < 400 };
    }
    return { answer: body.choices?.[0]?.message?.content ?? text, outcome: body.outcome, isComplete: status < 400 };
}
