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
    readonly whole: boolean;
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
        const { status, headers, text, broken } = await call({ ...options, keepsPart: true });
        const isStream = String(headers["content-type"]).startsWith("text/event-stream");
        const content = isStream ? readStream(text) : readBody(status, text);
        return { status, headers, text, ...content, whole: content.whole && !broken };
    }
    catch (error) {
        return { status: 0, headers: {}, text: String(error), answer: "", outcome: undefined, whole: false };
    }
}

function readStream(text: string): Pick<SentReply, "answer" | "outcome" | "whole"> {
    let answer = "";
    let whole = false;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                whole = true;
                return;
            }
            answer += (JSON.parse(data) as Chunk).choices?.[0]?.delta?.content ?? "";
        },
    });
    parser.feed(text);
    return { answer, outcome: undefined, whole };
}

function readBody(status: number, text: string): Pick<SentReply, "answer" | "outcome" | "whole"> {
    let body: Body;
    try {
        body = JSON.parse(text) as Body;
    }
    catch {
        return { answer: text, outcome: undefined, whole: status < 400 };
    }
    return { answer: body.choices?.[0]?.message?.content ?? text, outcome: body.outcome, whole: status < 400 };
}
