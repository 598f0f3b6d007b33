/**
 * A caller that reads the bytes of an answer at its own pace, and tells what their framing and the end of the connection say.
 */
import { connect, type TcpNetConnectOpts } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** How a caller reads: at once, after a pause, or a bounded number of bytes at a time. */
export type ReadingPace = "quick" | "paused" | "slow";

/**
 * What a caller knows of the end of an answer.
 * - `whole`: its framing says that it is complete.
 * - `unstated`: it has no framing, and its connection ended in order.
 * - `broken`: its framing is not complete, or the connection was reset.
 */
export type SeenEnd = "whole" | "unstated" | "broken";

/** What a caller got. */
export interface SeenAnswer {
    readonly status: number;
    readonly body: string;
    /** Identifiers of the complete events. */
    readonly events: readonly number[];
    /** Whether the body ends inside an event. */
    readonly isInsideEvent: boolean;
    readonly end: SeenEnd;
}

/** A request for a stream. */
export interface FramedRequest {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly id: string;
    readonly pace: ReadingPace;
    /** Size of its body; by default a few bytes. */
    readonly bodyBytes?: number;
}

const defaultBodyBytes = 5;
const pauseMilliseconds = 900;
const slowMilliseconds = 80;
const slowBytes = 64 * 1024;
const deadlineMilliseconds = 20_000;

/** Sends a request and reads its answer until its framing is complete or its connection ends. */
export async function readFramed(request: FramedRequest): Promise<SeenAnswer> {
    const { host, port, path, id, pace, bodyBytes = defaultBodyBytes } = request;
    const options: TcpNetConnectOpts & { readonly readableHighWaterMark: number; } = {
        host,
        port,
        readableHighWaterMark: slowBytes,
    };
    const socket = connect(options);
    const pieces: Buffer[] = [];
    let isReset = false;
    socket.on("error", () => isReset = true);
    // The connection may be closed before the caller reads on.
    const closed = new Promise<void>(resolve => socket.on("close", () => resolve()));
    const lines = [
        `POST ${path} HTTP/1.1`,
        "Host: app.example",
        `Attempt-Id: ${id}`,
        `Deadline-Ms: ${deadlineMilliseconds}`,
        "Api-Key: key",
        `Content-Length: ${bodyBytes}`,
    ];
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    socket.write(Buffer.alloc(bodyBytes, "x"));
    if (pace === "paused") {
        await sleep(pauseMilliseconds);
    }
    socket.on("data", piece => {
        pieces.push(piece);
        if (isFramingComplete(Buffer.concat(pieces.slice(-2)), pieces)) {
            socket.destroy();
        }
        else if (pace === "slow") {
            socket.pause();
            setTimeout(() => socket.resume(), slowMilliseconds);
        }
    });
    await closed;
    return readAnswer(Buffer.concat(pieces), isReset);
}

/** Looks at the whole answer only if its last bytes may end it. */
function isFramingComplete(tail: Buffer, pieces: readonly Buffer[]): boolean {
    const mayBeEnd = tail.subarray(-5).toString("latin1") === "0\r\n\r\n"
        || /content-length/i.test(pieces[0].subarray(0, 1_000).toString("latin1"));
    return mayBeEnd && readAnswer(Buffer.concat(pieces), false).end === "whole";
}

function readAnswer(bytes: Buffer, isReset: boolean): SeenAnswer {
    const text = bytes.toString("latin1");
    const headLength = text.indexOf("\r\n\r\n") + 4;
    const head = text.slice(0, headLength);
    const rest = text.slice(headLength);
    const { body, end } = readBody(head, rest, isReset);
    const lastBlank = body.lastIndexOf("\n\n");
    return {
        status: Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1] ?? 0),
        body,
        events: [...body.matchAll(/(?:^|\n\n)id: (\d+)\ndata: [^\n]*(?=\n\n)/g)].map(([, id]) => Number(id)),
        isInsideEvent: body.length > 0 && lastBlank + 2 !== body.length,
        end,
    };
}

function readBody(
    head: string,
    rest: string,
    isReset: boolean,
): { readonly body: string; readonly end: SeenEnd; } {
    const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
    if (length !== undefined) {
        return { body: rest, end: rest.length >= Number(length) ? "whole" : "broken" };
    }
    if (!/\r\ntransfer-encoding: chunked/i.test(head)) {
        return { body: rest, end: isReset || head === "" ? "broken" : "unstated" };
    }
    let body = "";
    let position = 0;
    for (;;) {
        const lineEnd = rest.indexOf("\r\n", position);
        const size = lineEnd < 0 ? Number.NaN : Number.parseInt(rest.slice(position, lineEnd), 16);
        if (size === 0) {
            return { body, end: "whole" };
        }
        if (!(size > 0)) {
            return { body, end: "broken" };
        }
        body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
        position = lineEnd + 2 + size + 2;
    }
}
