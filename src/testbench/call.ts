/**
 * Calls of a test to stand-ins and entries.
 */
import { request } from "undici";

const callBoundMilliseconds = 10_000;

/** A call over HTTP. */
export interface Call {
    /** `HOST:PORT`. */
    readonly address: string;
    readonly path: string;
    readonly method?: "GET" | "POST" | "PUT" | "DELETE";
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON. */
    readonly body?: object;
    readonly boundMilliseconds?: number;
}

/** What came back. */
export interface Reply {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

/** Makes a call; throws when the connection fails or the bound is over. */
export async function call(options: Call): Promise<Reply> {
    const { address, path, method = "GET", headers, body, boundMilliseconds = callBoundMilliseconds } = options;
    const reply = await request(`http://${address}${path}`, {
        method,
        headers: { ...body === undefined ? {} : { "content-type": "application/json" }, ...headers },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(boundMilliseconds),
    });
    return { status: reply.statusCode, headers: reply.headers, text: await reply.body.text() };
}

/** Makes a call and returns the JSON that came back; throws at any status from 400 on. */
export async function callJson<Body>(options: Call): Promise<Body> {
    const reply = await call(options);
    if (reply.status >= 400) {
        throw new Error(`${options.address}${options.path} answered ${reply.status}: ${reply.text}`);
    }
    return (reply.text === "" ? undefined : JSON.parse(reply.text)) as Body;
}

/** Switches faults of a stand-in. */
export async function setFaults(address: string, faults: object): Promise<void> {
    await callJson({ address, path: "/faults", method: "POST", body: faults });
}

/** Returns a stand-in's journal, from a note on. */
export function getJournal<Note>(address: string, from = 0): Promise<readonly Note[]> {
    return callJson<readonly Note[]>({ address, path: `/journal?from=${from}` });
}
