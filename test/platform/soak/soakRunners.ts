/** Runners of a soak test. Their answers identify the request that they belong to, and they fail as real runners do. */
import type { ServerResponse } from "node:http";
import type { RandomSource } from "../../../src/common/index.js";
import { createSeal, type ReceivedRequest, type RunnerBehaviour } from "../standins/runnerStandin.js";
import type { RunnerFailure } from "./runEnds.js";
import type { RunnerSilence } from "./runnerSilence.js";

/** A stream's number of events and the time between them. */
export interface StreamShape {
    readonly events: number;
    readonly intervalMilliseconds: number;
}

/** A stream of a fifth of a second. */
export const shortStream: StreamShape = { events: 12, intervalMilliseconds: 15 };
const truncationMilliseconds = 15;
const slowDelayMilliseconds = 900;

/** How a runner fails a share of its requests. */
export type RunnerFault = "none" | "reset" | "mute" | "truncate" | "error" | "slow";

/** Options of a runner's behaviour. */
export interface SoakBehaviour {
    readonly fault: RunnerFault;
    /** The share of the requests that get the fault. */
    readonly share: number;
    readonly random: RandomSource;
    readonly silence: RunnerSilence;
    /** Called before the runner fails a request. */
    readonly onFailure: (request: ReceivedRequest, failure: RunnerFailure) => void;
}

/** Returns the body of a complete answer to a request. */
export function createCompleteBody(requestId: string): string {
    return `done ${requestId}`;
}

/** Returns the path of a stream, which names its shape. */
export function createStreamPath({ events, intervalMilliseconds }: StreamShape): string {
    return `/stream/${events}/${intervalMilliseconds}`;
}

function readStreamShape(target: string): StreamShape {
    const [events, intervalMilliseconds] = target.split("/").slice(2).map(Number);
    return { events, intervalMilliseconds };
}

/** Creates the behaviour of a runner that fails a share of its requests. */
export function createBehaviour(options: SoakBehaviour): RunnerBehaviour {
    const { fault, share, random, silence, onFailure } = options;
    return async (request, response) => {
        const isFaulty = fault !== "none" && random.next() < share;
        if (isFaulty && fault === "mute") {
            return;
        }
        if (isFaulty && fault === "reset") {
            onFailure(request, "broken-off");
            response.socket?.destroy();
            return;
        }
        if (isFaulty && fault === "error") {
            onFailure(request, "failed");
            response.writeHead(500, createSeal(request)).end("failed");
            return;
        }
        if (isFaulty && fault === "slow") {
            await silence.wait(slowDelayMilliseconds);
        }
        const isTruncated = isFaulty && fault === "truncate";
        const answer = request.target.startsWith("/stream/") ? answerStream : answerUnary;
        if (await answer({ request, response, isTruncated, silence }) === "truncated") {
            await silence.wait(truncationMilliseconds);
            onFailure(request, "broken-off");
            response.socket?.destroy();
        }
    };
}

interface SoakAnswer {
    readonly request: ReceivedRequest;
    readonly response: ServerResponse;
    readonly isTruncated: boolean;
    readonly silence: RunnerSilence;
}

function answerUnary({ request, response, isTruncated }: SoakAnswer): "whole" | "truncated" {
    const body = createCompleteBody(String(request.headers["attempt-id"]));
    response.writeHead(200, { ...createSeal(request), "Content-Length": String(body.length) });
    if (isTruncated) {
        response.write(body.slice(0, body.length / 2));
        return "truncated";
    }
    response.end(body);
    return "whole";
}

async function answerStream(
    { request, response, isTruncated, silence }: SoakAnswer,
): Promise<"whole" | "truncated" | "left"> {
    const { events, intervalMilliseconds } = readStreamShape(request.target);
    response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= events; id += 1) {
        if (response.destroyed) {
            return "left";
        }
        if (isTruncated && id === Math.floor((first + events) / 2)) {
            response.write(`id: ${id}\nda`);
            return "truncated";
        }
        response.write(`id: ${id}\ndata: ${request.headers["attempt-id"]}\n\n`);
        await silence.wait(intervalMilliseconds);
    }
    response.end();
    return "whole";
}
