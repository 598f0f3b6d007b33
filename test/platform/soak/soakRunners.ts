/** Runners of a soak test. Their answers identify the request that they belong to, and they fail as real runners do. */
import type { ServerResponse } from "node:http";
import type { RandomSource } from "../../../src/common/index.js";
import { createSeal, type ReceivedRequest, type RunnerBehaviour } from "../standins/runnerStandin.js";

/** Number of events of a complete stream. */
export const streamEventCount = 12;
const eventIntervalMilliseconds = 15;
const slowDelayMilliseconds = 900;

/** How a runner fails a share of its requests. */
export type RunnerFault = "none" | "reset" | "mute" | "truncate" | "error" | "slow";

/** Returns the body of a complete answer to a request. */
export function createCompleteBody(requestId: string): string {
    return `done ${requestId}`;
}

/** Creates the behaviour of a runner that fails a share of its requests. */
export function createBehaviour(fault: RunnerFault, share: number, random: RandomSource): RunnerBehaviour {
    return async (request, response) => {
        const isFaulty = fault !== "none" && random.next() < share;
        if (isFaulty && fault === "mute") {
            return;
        }
        if (isFaulty && fault === "reset") {
            response.socket?.destroy();
            return;
        }
        if (isFaulty && fault === "error") {
            response.writeHead(500, createSeal(request)).end("failed");
            return;
        }
        if (isFaulty && fault === "slow") {
            await wait(slowDelayMilliseconds);
        }
        const isTruncated = isFaulty && fault === "truncate";
        await (request.target.startsWith("/stream/")
            ? answerStream(request, response, isTruncated)
            : answerUnary(request, response, isTruncated));
    };
}

async function answerUnary(request: ReceivedRequest, response: ServerResponse, isTruncated: boolean): Promise<void> {
    const body = createCompleteBody(String(request.headers["attempt-id"]));
    response.writeHead(200, { ...createSeal(request), "Content-Length": String(body.length) });
    if (isTruncated) {
        response.write(body.slice(0, body.length / 2));
        await wait(eventIntervalMilliseconds);
        response.socket?.destroy();
        return;
    }
    response.end(body);
}

async function answerStream(request: ReceivedRequest, response: ServerResponse, isTruncated: boolean): Promise<void> {
    response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= streamEventCount; id += 1) {
        if (isTruncated && id === Math.floor((first + streamEventCount) / 2)) {
            response.write(`id: ${id}\nda`);
            await wait(eventIntervalMilliseconds);
            response.socket?.destroy();
            return;
        }
        response.write(`id: ${id}\ndata: ${request.headers["attempt-id"]}\n\n`);
        await wait(eventIntervalMilliseconds);
    }
    response.end();
}

function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
