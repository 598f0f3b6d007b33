/**
 * One request on its way: what was decided of it, how long it has left, and what has been tried.
 */
import { type Clock, Failure, type Outcome, type Refusal } from "../common/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { Route } from "../routing/index.js";
import type { CallerReply } from "./callerReply.js";
import type { CallerRequest } from "./callerRequest.js";

/** What an exchange begins with. */
export interface ExchangeOptions {
    readonly clock: Clock;
    readonly request: CallerRequest;
    readonly reply: CallerReply;
    readonly route: Route;
    readonly pool: string;
    /** Undefined on routes that need no key. */
    readonly workspace: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Version of the route table that decided. */
    readonly configurationVersion: number;
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
    /** Upstreams that were tried in vain. */
    readonly excluded = new Set<string>();
    /** Upstreams that the request was sent to. */
    attempts = 0;
    /** Whether the pool's budget has counted the request. */
    isCountedInBudget = false;
    /** What is known of whether it ran. */
    outcome: Outcome = "not-run";
    readonly #clock: Clock;
    readonly #endsAt: number;
    readonly #endController = new AbortController();
    readonly #timer: NodeJS.Timeout;
    readonly #handleDisconnect: () => void;
    #isTimedOut = false;

    constructor(options: ExchangeOptions) {
        this.request = options.request;
        this.reply = options.reply;
        this.route = options.route;
        this.pool = options.pool;
        this.workspace = options.workspace;
        this.priority = options.priority;
        this.configurationVersion = options.configurationVersion;
        this.#clock = options.clock;
        const timeoutMilliseconds = Math.min(
            options.route.timeoutMilliseconds,
            options.request.deadlineMilliseconds ?? Number.POSITIVE_INFINITY,
        );
        this.#endsAt = options.request.arrivedAt + timeoutMilliseconds;
        this.#timer = setTimeout(() => {
            this.#isTimedOut = true;
            this.#endController.abort();
        }, Math.max(0, this.#endsAt - this.#clock.monotonic()));
        this.#handleDisconnect = () => this.#endController.abort();
        this.reply.disconnected.addEventListener("abort", this.#handleDisconnect);
        if (this.reply.disconnected.aborted) {
            this.#handleDisconnect();
        }
    }

    /** Is aborted when the caller left or the time is over. */
    get ended(): AbortSignal {
        return this.#endController.signal;
    }

    /** Whether the time was over before the answer was complete. */
    get isTimedOut(): boolean {
        return this.#isTimedOut;
    }

    /** Returns the milliseconds that are left until the route's timeout or the caller's deadline. */
    getTimeLeft(): number {
        return this.#endsAt - this.#clock.monotonic();
    }

    /** Returns the milliseconds since the request arrived. */
    getElapsed(): number {
        return this.#clock.monotonic() - this.request.arrivedAt;
    }

    /** Notes that the request was sent to an upstream. */
    addAttempt(upstream: RegisteredUpstream): void {
        this.attempts += 1;
        this.excluded.add(upstream.id);
    }

    /** Notes that an attempt never reached its upstream: no connection came about. */
    removeAttempt(): void {
        this.attempts -= 1;
    }

    /** Notes that the request may have run. */
    markRun(outcome: Outcome): void {
        if (this.outcome !== "ran") {
            this.outcome = outcome;
        }
    }

    /** Stops the timer and lets go of the caller. */
    dispose(): void {
        clearTimeout(this.#timer);
        this.reply.disconnected.removeEventListener("abort", this.#handleDisconnect);
    }
}

/** The refusal of a request whose time is over. */
export function createTimeoutRefusal(exchange: Exchange): Refusal {
    return {
        outcome: exchange.outcome,
        failure: new Failure({
            kind: "deadline",
            message: `There was no whole answer within ${Math.round(exchange.getElapsed())} ms.`,
            remedy: "Ask for less, or have the route's timeout raised.",
        }),
    };
}
