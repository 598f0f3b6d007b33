/**
 * Requests of a scenario and their replies.
 */
import { createParser } from "eventsource-parser";
import { type Call, call } from "../testbench/index.js";

/** The result of a request. */
export interface SentReply {
    /** HTTP status; 0 when the connection failed. */
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
    /** Text of the answer, extracted from a stream, a JSON body or plain text. */
    readonly answer: string;
    /** The outcome that a refusal reports: whether the request ran. */
    readonly outcome: string | undefined;
    /** Whether the answer was received completely. */
    readonly isComplete: boolean;
}

interface Body {
    readonly outcome?: string;
    readonly choices?: readonly { readonly message?: { readonly content?: string; }; }[];
}

interface Chunk {
    readonly choices: readonly { readonly delta?: { readonly content?: string; }; }[];
}

/** Sends a request and waits for its result. Never throws; a failed connection gives the status 0. */
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
