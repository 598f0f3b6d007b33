/**
 * The ways in which the runners of a storm answer, most of which lead to a further attempt.
 */
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createSeal, type ReceivedRequest } from "./standins/runnerStandin.js";

const failureMilliseconds = 25;
/** Longer than callers wait. */
const silenceMilliseconds = 4_000;
const slowMilliseconds = 1_200;
/** Time for which a stream goes on before it is broken off. */
const lateMilliseconds = 3_000;
const pieceMilliseconds = 200;
const restSeconds = 2;
const poorConfidence = 5;

/** How the runners answer. */
export type FailureWay = keyof typeof behaviours;

/** Answers a request, or fails to. */
type Behaviour = (request: ReceivedRequest, response: ServerResponse) => Promise<void>;

const behaviours = {
    "reset": async (_, response) => {
        await sleep(failureMilliseconds);
        response.destroy();
    },
    "reset-at-once": (_, response) => {
        response.destroy();
        return Promise.resolve();
    },
    "broken-off": async (request, response) => {
        response.writeHead(200, { ...createSeal(request), "Content-Length": "100" }).write("half");
        await sleep(failureMilliseconds);
        response.destroy();
    },
    "broken-event": async (request, response) => {
        startEvents(request, response).write("id: 1\ndata: on");
        await sleep(failureMilliseconds);
        response.destroy();
    },
    "unframed-event": async (request, response) => {
        leaveUnframed(response);
        startEvents(request, response).write("id: 1\ndata: on");
        await sleep(failureMilliseconds);
        response.end();
    },
    "late-reset": async (request, response) => {
        startEvents(request, response);
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let count = 0; count * pieceMilliseconds < lateMilliseconds && !response.destroyed; count += 1) {
            response.write(`id: ${first + count}\ndata: piece\n\n`);
            await sleep(pieceMilliseconds);
        }
        response.destroy();
    },
    "error": async (request, response) => {
        await sleep(failureMilliseconds);
        response.writeHead(500, createSeal(request)).end("failed");
    },
    "silent": async (_, response) => {
        await sleep(silenceMilliseconds);
        response.destroy();
    },
    "rejected": (request, response) => {
        response.writeHead(503, { ...createSeal(request), "Not-Executed": "1" }).end();
        return Promise.resolve();
    },
    "resting": (request, response) => {
        const headers = { ...createSeal(request), "Not-Executed": "1", "Retry-After": String(restSeconds) };
        response.writeHead(503, headers).end();
        return Promise.resolve();
    },
    "misdirected": (request, response) => {
        response.writeHead(421, { ...createSeal(request), "Not-Executed": "1" }).end();
        return Promise.resolve();
    },
    "foreign": async (request, response) => {
        await sleep(failureMilliseconds);
        response.writeHead(200, { ...createSeal(request), "Attempt-Id": "another" }).end("done");
    },
    "unsealed": async (_, response) => {
        await sleep(failureMilliseconds);
        response.writeHead(200).end("done");
    },
    "unframed": async (request, response) => {
        await sleep(failureMilliseconds);
        leaveUnframed(response);
        response.writeHead(200, createSeal(request)).end("done");
    },
    "slow": async (request, response) => {
        await sleep(slowMilliseconds);
        answerWhole(request, response);
    },
    "poor": async (request, response) => {
        await sleep(failureMilliseconds);
        response.setHeader("Confidence", String(poorConfidence));
        answerWhole(request, response);
    },
    "sound": async (request, response) => {
        await sleep(failureMilliseconds);
        answerWhole(request, response);
    },
} satisfies Record<string, Behaviour>;

/** All ways. */
export const failureWays = Object.keys(behaviours) as readonly FailureWay[];

/** Returns whether runners reject requests in a way, and do not run them. */
export function isRejection(way: FailureWay): boolean {
    return way === "rejected" || way === "resting" || way === "misdirected";
}

/** Answers a request in a way. */
export function answerInWay(way: FailureWay, request: ReceivedRequest, response: ServerResponse): Promise<void> {
    return behaviours[way](request, response);
}

function startEvents(request: ReceivedRequest, response: ServerResponse): ServerResponse {
    return response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
}

function answerWhole(request: ReceivedRequest, response: ServerResponse): void {
    if (request.target.startsWith("/stream/")) {
        const id = Number(request.headers["last-event-id"] ?? 0) + 1;
        startEvents(request, response).end(`id: ${id}\ndata: piece\n\n`);
        return;
    }
    response.writeHead(200, createSeal(request)).end("done");
}

/** Lets an answer end with its connection. */
function leaveUnframed(response: ServerResponse): void {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
}
