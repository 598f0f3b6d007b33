/** How the runs of a soak test have ended at their runners. */
import type { ServerResponse } from "node:http";
import type { ReceivedRequest } from "../standins/runnerStandin.js";

/** How a runner ended a request that it neither answered nor left unanswered: by a closed connection, or by a failure. */
export type RunnerFailure = "broken-off" | "failed";

/** The end of a run. One that is "left" was sound, and the node closed its connection. */
export interface RunEnd {
    readonly kind: RunnerFailure | "answered" | "left";
    readonly at: number;
}

/** Records the first end of each run, by what the runner received. */
export class RunEnds {
    readonly #ends = new Map<ReceivedRequest, RunEnd>();

    /** Records the end of a run as its connection closes, unless the runner fails it before. */
    watch(request: ReceivedRequest, response: ServerResponse): void {
        response.once("close", () => this.#add(request, response.writableFinished ? "answered" : "left"));
    }

    /** Records that a runner is about to fail a request. */
    fail(request: ReceivedRequest, failure: RunnerFailure): void {
        this.#add(request, failure);
    }

    /** Returns the end of a run; undefined while it goes on. */
    get(request: ReceivedRequest): RunEnd | undefined {
        return this.#ends.get(request);
    }

    #add(request: ReceivedRequest, kind: RunEnd["kind"]): void {
        if (!this.#ends.has(request)) {
            this.#ends.set(request, { kind, at: performance.now() });
        }
    }
}
