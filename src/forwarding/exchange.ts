/**
 * State of one request: its route and priority, the time left, and the attempts so far.
 */
import { type Clock, Failure, type Outcome, type Refusal } from "../common/index.js";
import type { RankedRequest } from "../decisions/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import { createWatchedRequest, type WatchedRequest } from "../quarantine/index.js";
import type { Route } from "../routing/index.js";
import type { CallerReply } from "./callerReply.js";
import { type CallerRequest, getPath, getQuery } from "./callerRequest.js";
import type { SelectedUpstream } from "./selectedUpstream.js";
import { createStopFailure } from "./shutdown.js";

/** Options of an exchange. */
export interface ExchangeOptions {
    readonly clock: Clock;
    readonly request: CallerRequest;
    readonly reply: CallerReply;
    readonly route: Route;
    readonly pool: string;
    /** Undefined on routes that need no API key. */
    readonly workspace: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Version of the route table by which the request was admitted. */
    readonly configurationVersion: number;
    /** Returns the time until the node ends its requests in milliseconds, or undefined while it does not stop. */
    readonly getStopTimeLeft?: () => number | undefined;
}

/** Carries a request from its admission to its final answer. */
export class Exchange {
    readonly request: CallerRequest;
    readonly reply: CallerReply;
    readonly route: Route;
    readonly pool: string;
    readonly workspace: string | undefined;
    readonly priority: number;
    readonly configurationVersion: number;
    /** Upstreams that were already tried. */
    readonly excluded = new Set<string>();
    /** Number of upstreams that the request was sent to. */
    attempts = 0;
    /** Whether the pool's budget has counted the request. */
    isCountedInBudget = false;
    /** Upstream of the next attempt, which was admitted before the silent one that it replaces is given up. */
    reservation: SelectedUpstream | undefined;
    /** The request as the watch for crashed upstreams sees it. */
    readonly watchedRequest: WatchedRequest;
    /** Whether the request ran, as far as known. */
    outcome: Outcome = "not-run";
    readonly #clock: Clock;
    readonly #getStopTimeLeft: () => number | undefined;
    readonly #endsAt: number;
    readonly #endController = new AbortController();
    readonly #timer: NodeJS.Timeout;
    readonly #handleDisconnect: () => void;
    #evaluations: Promise<unknown> | undefined;
    #pendingEvaluations = 0;
    #isTimedOut = false;
    #isStopped = false;
    #callerLeftAfterMilliseconds: number | undefined;

    constructor(options: ExchangeOptions) {
        this.request = options.request;
        this.reply = options.reply;
        this.route = options.route;
        this.pool = options.pool;
        this.workspace = options.workspace;
        this.priority = options.priority;
        this.configurationVersion = options.configurationVersion;
        this.#clock = options.clock;
        this.#getStopTimeLeft = options.getStopTimeLeft ?? (() => undefined);
        const { id, method, host, body, generation } = options.request;
        const { workspace, pool } = options;
        this.watchedRequest = createWatchedRequest({
            id,
            isStream: options.route.kind === "stream",
            content: { method, host, path: getPath(options.request), workspace, body },
            query: getQuery(options.request),
            prompt: generation && { pool, parts: generation.parts.map(part => part.id) },
        });
        const timeoutMilliseconds = Math.min(
            options.route.timeoutMilliseconds,
            options.request.deadlineMilliseconds ?? Number.POSITIVE_INFINITY,
        );
        this.#endsAt = options.request.arrivedAt + timeoutMilliseconds;
        this.#timer = setTimeout(() => {
            this.#isTimedOut = true;
            this.#endController.abort("the time is over");
        }, Math.max(0, this.#endsAt - this.#clock.monotonic()));
        this.#handleDisconnect = () => {
            this.#callerLeftAfterMilliseconds = this.getElapsed();
            this.#endController.abort("the caller has left");
        };
        this.reply.disconnected.addEventListener("abort", this.#handleDisconnect);
        if (this.reply.disconnected.aborted) {
            this.#handleDisconnect();
        }
    }

    /** Aborted when the caller disconnects, the time is over, or the node stops. Its reason says which, for log lines. */
    get ended(): AbortSignal {
        return this.#endController.signal;
    }

    /** Whether the time ran out before the answer was complete. */
    get isTimedOut(): boolean {
        return this.#isTimedOut;
    }

    /** Whether the node stopped before the answer was complete. */
    get isStopped(): boolean {
        return this.#isStopped;
    }

    /** Time from the arrival of the request until its caller's leaving was read, in milliseconds. Undefined if the caller stays. */
    get callerLeftAfterMilliseconds(): number | undefined {
        return this.#callerLeftAfterMilliseconds;
    }

    /** Returns the time left until the route's timeout or the caller's deadline, in milliseconds. */
    getTimeLeft(): number {
        return this.#endsAt - this.#clock.monotonic();
    }

    /** Returns whether the node stops, and may do so before the request has used its time. */
    mayOutlastNode(): boolean {
        const stopTimeLeft = this.#getStopTimeLeft();
        return stopTimeLeft !== undefined && this.getTimeLeft() > stopTimeLeft;
    }

    /** Returns the time since the request arrived, in milliseconds. */
    getElapsed(): number {
        return this.#clock.monotonic() - this.request.arrivedAt;
    }

    /** Ends the exchange because the node stops: cancels its run and lets its caller be refused. Does nothing after its end. */
    stop(): void {
        if (!this.#endController.signal.aborted) {
            this.#isStopped = true;
            this.#endController.abort("the node stops");
        }
    }

    /** Records that the request was sent to an upstream. */
    addAttempt(upstream: RegisteredUpstream): void {
        this.attempts += 1;
        this.excluded.add(upstream.id);
    }

    /** Whether an attempt that has ended is still evaluated. */
    get isEvaluating(): boolean {
        return this.#pendingEvaluations > 0;
    }

    /** Adds the evaluation of an attempt that has ended, which the next one must wait for. */
    addEvaluation(evaluation: Promise<void>): void {
        this.#pendingEvaluations += 1;
        const ended = evaluation.finally(() => this.#pendingEvaluations -= 1);
        this.#evaluations = Promise.all([this.#evaluations, ended]);
    }

    /** Waits until all attempts that have ended are evaluated. */
    async waitForEvaluations(): Promise<void> {
        await this.#evaluations;
    }

    /** Takes the upstream of the next attempt, if that was admitted. */
    takeReservation(): SelectedUpstream | undefined {
        const { reservation } = this;
        this.reservation = undefined;
        return reservation;
    }

    /** Reverts the count of an attempt that never reached its upstream because no connection was established. */
    removeAttempt(): void {
        this.attempts -= 1;
    }

    /** Records whether the request ran. A known run is never overwritten. */
    markRun(outcome: Outcome): void {
        if (this.outcome !== "ran") {
            this.outcome = outcome;
        }
    }

    /** Stops the timer and removes the listener for the caller's connection. */
    dispose(): void {
        clearTimeout(this.#timer);
        this.reply.disconnected.removeEventListener("abort", this.#handleDisconnect);
    }
}

/** Describes a request for the competition for the room of its pool. */
export function getRankedRequest({ pool, priority, route }: Exchange): RankedRequest {
    return { pool, priority, objectiveMilliseconds: route.objectiveMilliseconds };
}

/** Creates the refusal of a request that was ended before its answer, or undefined if it was not. */
export function createEndRefusal(exchange: Exchange): Refusal | undefined {
    if (exchange.isTimedOut) {
        return createTimeoutRefusal(exchange);
    }
    return exchange.isStopped ? { outcome: exchange.outcome, failure: createStopFailure() } : undefined;
}

function createTimeoutRefusal(exchange: Exchange): Refusal {
    return {
        outcome: exchange.outcome,
        failure: new Failure({
            kind: "deadline",
            message: `No complete answer arrived within ${Math.round(exchange.getElapsed())} ms.`,
            remedy: "Request less, or have the route's timeout raised.",
        }),
    };
}
