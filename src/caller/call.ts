/**
 * HTTP calls from tests to stand-ins and entries.
 */
import { request } from "undici";

const defaultTimeoutMilliseconds = 10_000;

/** A call over HTTP. */
export interface Call {
    /** `HOST:PORT`. */
    readonly address: string;
    readonly path: string;
    readonly method?: "GET" | "POST" | "PUT" | "DELETE";
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON. */
    readonly body?: object;
    readonly timeoutMilliseconds?: number;
    /** Whether the received part of a truncated body is returned instead of throwing an error. */
    readonly allowsPartialBody?: boolean;
}

/** The response to a call. */
export interface Reply {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
    /** Whether the connection failed before the end of the body. */
    readonly isTruncated: boolean;
}

/** Makes a call. Throws when the connection fails or the timeout expires. */
export async function call(options: Call): Promise<Reply> {
    const { address, path, method = "GET", headers, body, timeoutMilliseconds = defaultTimeoutMilliseconds } = options;
    const reply = await request(`http://${address}${path}`, {
        method,
        headers: { ...body === undefined ? {} : { "content-type": "application/json" }, ...headers },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    const { text, error } = await readText(reply.body);
    if (error !== undefined && options.allowsPartialBody !== true) {
        throw error;
    }
    return { status: reply.statusCode, headers: reply.headers, text, isTruncated: error !== undefined };
}

/** Reads a body to its end or, when the connection fails, returns the received part and the error. */
async function readText(body: AsyncIterable<Buffer>): Promise<{ readonly text: string; readonly error?: unknown; }> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of body) {
            chunks.push(chunk);
        }
        return { text: Buffer.concat(chunks).toString() };
    }
    catch (error) {
        return { text: Buffer.concat(chunks).toString(), error };
    }
}

/** Makes a call and returns the JSON of the response. Throws for any status of 400 or above. */
export async function callJson<Body>(options: Call): Promise<Body> {
    const reply = await call(options);
    if (reply.status >= 400) {
        throw new Error(`${options.address}${options.path} answered ${reply.status}: ${reply.text}`);
    }
    return (reply.text === "" ? undefined : JSON.parse(reply.text)) as Body;
}
