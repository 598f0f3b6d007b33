/** Runners of a soak test. Their answers identify the request that they belong to, and they fail as real runners do. */
import type { ServerResponse } from "node:http";
import type { RandomSource } from "../../../src/common/index.js";
import { createSeal, type ReceivedRequest, type RunnerBehaviour } from "../standins/runnerStandin.js";
import type { RunnerFailure } from "./runEnds.js";
import type { RunnerSilence } from "./runnerSilence.js";
import type { SoakBreak, SoakFramings } from "./soakFramings.js";

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
    /** Draws how answers are framed and broken off. Without it, streams come in chunks and are cut inside an event. */
    readonly framings?: SoakFramings | undefined;
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
    const { fault, share, random, silence, framings, onFailure } = options;
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
        const isTruncated = (isFaulty && fault === "truncate") || framings?.drawsBreak() === true;
        const answer = request.target.startsWith("/stream/") ? answerStream : answerUnary;
        const end = await answer({ request, response, isTruncated, silence, framings });
        if (end === "whole" || end === "left") {
            return;
        }
        await silence.wait(truncationMilliseconds);
        onFailure(request, "broken-off");
        if (framings === undefined) {
            response.socket?.destroy();
        }
        else {
            await framings.breakOff(request, response, end);
        }
    };
}

interface SoakAnswer {
    readonly request: ReceivedRequest;
    readonly response: ServerResponse;
    readonly isTruncated: boolean;
    readonly silence: RunnerSilence;
    readonly framings: SoakFramings | undefined;
}

/** How an answer ended, or where it is to be broken off. */
type SoakEnd = "whole" | "left" | SoakBreak;

function answerUnary({ request, response, isTruncated, framings }: SoakAnswer): SoakEnd {
    const body = createCompleteBody(String(request.headers["attempt-id"]));
    response.setHeader("Content-Length", String(body.length));
    framings?.begin(request, response, body.length);
    response.writeHead(200, createSeal(request));
    if (isTruncated) {
        response.write(body.slice(0, body.length / 2));
        return "between";
    }
    response.end(body);
    return "whole";
}

async function answerStream(
    { request, response, isTruncated, silence, framings }: SoakAnswer,
): Promise<SoakEnd> {
    const { events, intervalMilliseconds } = readStreamShape(request.target);
    framings?.begin(request, response, getStreamLength(request, events));
    response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= events; id += 1) {
        if (response.destroyed) {
            return "left";
        }
        if (isTruncated && id === Math.floor((first + events) / 2)) {
            const at = framings?.drawBreak(request) ?? "inside";
            if (at !== "between") {
                response.write(`id: ${id}\nda`);
            }
            return at;
        }
        response.write(createSoakEvent(request, id));
        await silence.wait(intervalMilliseconds);
    }
    response.end();
    return "whole";
}

function createSoakEvent({ headers }: ReceivedRequest, id: number): string {
    return `id: ${id}\ndata: ${headers["attempt-id"]}\n\n`;
}

/** Returns the bytes of the events that a whole answer to a request has. */
function getStreamLength(request: ReceivedRequest, events: number): number {
    let length = 0;
    for (let id = Number(request.headers["last-event-id"] ?? 0) + 1; id <= events; id += 1) {
        length += createSoakEvent(request, id).length;
    }
    return length;
}
