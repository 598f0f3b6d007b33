/** Simulates a runner that says that it leaves, or rejects requests and asks for rest, and records what each node sends it. */
import type { ServerResponse } from "node:http";
import { createSeal, type ReceivedRequest, type RunnerStandin } from "./runnerStandin.js";

/** Header with which test callers name the node that they send to. */
export const nodeHeader = "x-node";
/** Header with which test callers tell when they sent a request, in monotonic milliseconds. */
export const sentAtHeader = "x-sent-at";

/** A request as it arrived. */
export interface Arrival {
    readonly at: number;
    readonly sentAt: number;
    readonly node: string;
    /** Whether the answer said that the runner leaves. */
    readonly isToldLeaving: boolean;
    /** The rest that the answer asked for, in milliseconds. */
    readonly toldRest: number | undefined;
}

/** A runner whose statements a test changes. */
export class StatingRunner {
    readonly arrivals: Arrival[] = [];
    isLeaving = false;
    /** Time that a served request takes. */
    answerMilliseconds = 0;
    /** Seconds of rest that it asks for with each rejection. Undefined serves requests. */
    restSeconds: number | undefined;

    /** @param runner - The stand-in that it takes over. */
    constructor(runner: RunnerStandin) {
        runner.behaviour = (request, response) => this.#answer(request, response);
    }

    /** Returns the nodes that have sent it requests. */
    getNodes(): ReadonlySet<string> {
        return new Set(this.arrivals.map(({ node }) => node));
    }

    /** Returns the requests that were sent to a node this long after the runner had told it that it leaves. */
    getAfterLeaving(boundMilliseconds: number): readonly Arrival[] {
        const toldAt = new Map<string, number>();
        const late: Arrival[] = [];
        for (const arrival of this.arrivals) {
            const told = toldAt.get(arrival.node);
            if (told !== undefined && arrival.sentAt > told + boundMilliseconds) {
                late.push(arrival);
            }
            else if (told === undefined && arrival.isToldLeaving) {
                toldAt.set(arrival.node, arrival.at);
            }
        }
        return late;
    }

    /** Returns the most requests of a node between a time after it was asked for rest and the end of that rest. */
    getMostWhileResting(slackMilliseconds: number): number {
        let most = 0;
        for (const { at, node, toldRest } of this.arrivals) {
            if (toldRest === undefined) {
                continue;
            }
            const counted = this.arrivals.filter(other =>
                other.node === node && other.at >= at + slackMilliseconds && other.at < at + toldRest
            );
            most = Math.max(most, counted.length);
        }
        return most;
    }

    async #answer(request: ReceivedRequest, response: ServerResponse): Promise<void> {
        this.arrivals.push({
            at: performance.now(),
            sentAt: Number(request.headers[sentAtHeader]),
            node: String(request.headers[nodeHeader]),
            isToldLeaving: this.isLeaving,
            toldRest: this.restSeconds === undefined ? undefined : this.restSeconds * 1_000,
        });
        if (this.isLeaving) {
            response.setHeader("Server-Leaving", "1");
        }
        if (this.restSeconds === undefined) {
            await new Promise(resolve => setTimeout(resolve, this.answerMilliseconds));
            response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
            response.end("id: 1\ndata: 1\n\n");
            return;
        }
        response.writeHead(503, {
            "Attempt-Id": String(request.headers["attempt-id"]),
            "Not-Executed": "1",
            "Retry-After": String(this.restSeconds),
        });
        response.end();
    }
}
