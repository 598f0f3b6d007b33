/**
 * A runner that writes bytes without end.
 */
import type { Server, Socket } from "node:net";
import { createRawRunner } from "./runnerStandin.js";

/** Bytes after which it stops writing. A reader that takes all of them has no bound. */
const maxBytes = 64 * 1024 * 1024;
const pieceBytes = 64 * 1024;

/** An answer without an end. */
export interface EndlessAnswer {
    /** What is written once; `REQUEST` stands for the identifier of the request. */
    readonly start: string;
    /** What is written again and again. */
    readonly repeated: string;
}

/** Records what was written to one request. */
export interface WrittenAnswer {
    bytes: number;
    /** Whether the reader closed the connection. */
    isClosed: boolean;
}

/** A runner and the record of its answers. */
export interface EndlessRunner {
    readonly server: Server;
    readonly written: WrittenAnswer[];
    /** What it answers from now on. */
    answer: EndlessAnswer;
}

/** Creates a runner. */
export function createEndlessRunner(answer: EndlessAnswer): EndlessRunner {
    const server = createRawRunner((socket, requestId) => {
        const { start, repeated } = runner.answer;
        const record = { bytes: 0, isClosed: false };
        runner.written.push(record);
        socket.on("close", () => record.isClosed = true);
        socket.write(start.replace("REQUEST", requestId));
        void writeEndlessly(socket, repeated, record);
    });
    const runner: EndlessRunner = { server, written: [], answer };
    return runner;
}

/** Returns the start of an answer with the given lines after its seal. */
export function createSealedStart(lines: string): string {
    return `HTTP/1.1 200 OK\r\nAttempt-Id: REQUEST\r\nServer-Seal: s\r\n${lines}`;
}

async function writeEndlessly(socket: Socket, repeated: string, record: WrittenAnswer): Promise<void> {
    const piece = Buffer.from(repeated.repeat(Math.ceil(pieceBytes / repeated.length)));
    while (!socket.destroyed && record.bytes < maxBytes) {
        record.bytes += piece.length;
        await new Promise(resolve => socket.write(piece, resolve));
    }
}
