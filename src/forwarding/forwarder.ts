/**
 * Handles requests: finds the route and the workspace, checks whether the request may be served, and forwards it.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, Failure, type Refusal } from "../common/index.js";
import { getUnitRank, PoolPressure, type PoolRoom, RankShares, type WindowedRetryBudget } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { Route, RouteTable } from "../routing/index.js";
import type { AnswerBuffers } from "./answerBuffers.js";
import type { Attempts } from "./attempts.js";
import type { CallerReply } from "./callerReply.js";
import { type CallerRequest, getPath } from "./callerRequest.js";
import { Exchange } from "./exchange.js";
import { HeadTimes } from "./headTimes.js";
import type { ForwardingMetrics } from "./metrics.js";
import { drawRetryAfterMilliseconds } from "./refusals.js";
import { StreamExchange } from "./streamExchange.js";
import { runUnary } from "./unaryExchange.js";

/** Assumed deadline of requests without one, from which their retry delay is computed. */
const defaultDeadlineMilliseconds = 2_000;

/** Options of `Forwarder`. */
export interface ForwarderOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly metrics: ForwardingMetrics;
    readonly attempts: Attempts;
    /** Bounds what is held of answers. */
    readonly answerBuffers: AnswerBuffers;
    /** Returns the route table in force, or undefined before the first one. */
    readonly getRoutes: () => RouteTable | undefined;
    /** Waits for the first route table and upstreams shortly after the start; returns undefined when no wait is needed. */
    readonly waitForFirstRead: () => Promise<unknown> | undefined;
    /** Returns the time since the route table was last confirmed to be the latest, in milliseconds. */
    readonly getConfigurationAge: () => number;
    /** Returns the maximum age of the configuration at which API keys are accepted, in milliseconds. */
    readonly getMaxKeyAge: () => number;
    /** Returns the maximum age of the configuration at which unknown routes and keys are refused as final, in milliseconds. */
    readonly getMaxDenialAge: () => number;
    readonly getBudget: (pool: string) => WindowedRetryBudget;
    /** The room of the pools; without it, each pool has room to spare. */
    readonly room?: PoolRoom | undefined;
    /** Returns why no new requests are accepted, such as a shutdown that leaves too little time. */
    readonly checkCapacity: (route: Route) => Failure | undefined;
    /** Returns the time until the node ends its requests in milliseconds, or undefined while it does not stop. */
    readonly getStopTimeLeft?: () => number | undefined;
}

interface Admission {
    readonly route: Route;
    readonly workspace: string | undefined;
    readonly priority: number;
    readonly version: number;
}

/** Forwards requests. */
export class Forwarder {
    readonly #options: ForwarderOptions;
    readonly #ranks: RankShares;
    readonly #pressure: PoolPressure;
    readonly #headTimes: HeadTimes;
    readonly #exchanges = new Set<Exchange>();

    constructor(options: ForwarderOptions) {
        this.#options = options;
        const { clock, journal, metrics, room } = options;
        this.#ranks = new RankShares(clock);
        this.#pressure = new PoolPressure({ room, ranks: this.#ranks });
        this.#headTimes = new HeadTimes({ clock, journal, metrics, pressure: this.#pressure });
    }

    /** Returns the number of requests in flight. */
    getInFlight(): number {
        return this.#exchanges.size;
    }

    /** Ends all requests in flight: cancels their runs and refuses those that have no answer yet. */
    stop(): void {
        for (const exchange of this.#exchanges) {
            exchange.stop();
        }
    }

    /**
     * Answers a request. Never throws because of callers or upstreams.
     * @param request - The request.
     * @param reply - Receives the answer.
     */
    async handle(request: CallerRequest, reply: CallerReply): Promise<void> {
        await this.#options.waitForFirstRead();
        const admission = this.#admit(request);
        if (admission.isErr()) {
            this.#options.metrics.refusals.inc({ kind: admission.error.failure.kind });
            this.#options.journal.write(events.requestRefused, {
                request: request.id,
                kind: admission.error.failure.kind,
                reason: admission.error.failure.message,
                configurationAgeMs: Math.round(this.#options.getConfigurationAge()),
            });
            reply.refuse(admission.error);
            return;
        }
        const { route, workspace, priority, version } = admission.value;
        const exchange = new Exchange({
            clock: this.#options.clock,
            request,
            reply,
            route,
            pool: choosePool(route, request),
            workspace,
            priority,
            configurationVersion: version,
            getStopTimeLeft: this.#options.getStopTimeLeft,
        });
        this.#ranks.add(exchange.pool, priority);
        this.#logRouted(exchange);
        this.#exchanges.add(exchange);
        try {
            await this.#run(exchange);
        }
        finally {
            this.#exchanges.delete(exchange);
            exchange.dispose();
            this.#recordEnded(exchange);
        }
    }

    #run(exchange: Exchange): Promise<void> {
        const { answerBuffers, attempts, getBudget, journal, metrics } = this.#options;
        const budget = getBudget(exchange.pool);
        const [pressure, headTimes] = [this.#pressure, this.#headTimes];
        const parts = { answerBuffers, attempts, budget, pressure, headTimes, journal };
        return exchange.route.kind === "stream"
            ? new StreamExchange({ ...parts, exchange, metrics }).run()
            : runUnary(exchange, parts);
    }

    #admit(request: CallerRequest): Result<Admission, Refusal> {
        const routes = this.#options.getRoutes();
        if (routes === undefined) {
            return err(this.#createStaleRefusal(request, "No configuration has been read yet."));
        }
        const age = this.#options.getConfigurationAge();
        const route = routes.findRoute(request.host, getPath(request));
        if (route === undefined) {
            return err(this.#createDenial(request, age, "not-found", "No route matches the request."));
        }
        if (request.body.length > routes.limits.bodyBytes) {
            return err(
                createRefusal("too-large", "The body is larger than the configured limit.", "Send a smaller request."),
            );
        }
        const capacityFailure = this.#options.checkCapacity(route);
        if (capacityFailure !== undefined) {
            return err({ outcome: "not-run", failure: capacityFailure });
        }
        if (!routes.needsKeys() || route.isPublic) {
            return ok({ route, workspace: undefined, priority: route.priority, version: routes.version });
        }
        if (age > this.#options.getMaxKeyAge()) {
            // The key may have been revoked since. Accepting it could admit an unauthorized caller.
            return err(this.#createStaleRefusal(request, "The configuration is too old to accept keys."));
        }
        const workspace = request.apiKey === undefined ? undefined : routes.findWorkspace(request.apiKey);
        if (workspace === undefined) {
            return err(this.#createDenial(request, age, "unauthorized", "The API key is missing or unknown."));
        }
        const priority = workspace.priority ?? route.priority;
        return ok({ route, workspace: workspace.name, priority, version: routes.version });
    }

    /** Creates a final refusal, or a temporary one if the configuration may be outdated: the caller's route or key may be new. */
    #createDenial(request: CallerRequest, age: number, kind: "not-found" | "unauthorized", message: string): Refusal {
        if (age > this.#options.getMaxDenialAge()) {
            return this.#createStaleRefusal(request, "The configuration may be outdated.");
        }
        return createRefusal(kind, message, "Check the host, the path and the API key of the request.");
    }

    #createStaleRefusal(request: CallerRequest, message: string): Refusal {
        const timeLeft = request.deadlineMilliseconds ?? defaultDeadlineMilliseconds;
        return {
            outcome: "not-run",
            failure: new Failure({
                kind: "stale",
                message,
                remedy: "Retry after the given time, or send the request to another address.",
                retryAfterMilliseconds: drawRetryAfterMilliseconds(timeLeft, Math.random()),
            }),
        };
    }

    #logRouted(exchange: Exchange): void {
        const { request, route, pool, workspace, priority, configurationVersion } = exchange;
        this.#options.journal.write(events.requestRouted, {
            request: request.id,
            session: request.session,
            route: route.name,
            pool,
            workspace,
            priority,
            version: configurationVersion,
            configurationAgeMs: Math.round(this.#options.getConfigurationAge()),
            deadlineMs: request.deadlineMilliseconds,
        });
    }

    #recordEnded(exchange: Exchange): void {
        const { metrics } = this.#options;
        metrics.requests.inc({ route: exchange.route.name, ran: exchange.outcome });
        metrics.answers.observe({ route: exchange.route.name }, exchange.getElapsed() / 1_000);
        this.#options.journal.write(events.requestEnded, {
            request: exchange.request.id,
            route: exchange.route.name,
            attempts: exchange.attempts,
            ran: exchange.outcome,
            timedOut: exchange.isTimedOut || undefined,
            stopped: exchange.isStopped || undefined,
            unframed: exchange.reply.hasStatedEnd ? undefined : true,
            callerGone: exchange.reply.disconnected.aborted || undefined,
            callerGoneMs: roundMilliseconds(exchange.callerLeftAfterMilliseconds),
            wholeMs: Math.round(exchange.getElapsed()),
        });
    }
}

/**
 * Chooses one of a route's pools by their weights. All requests of a session get the same pool. If each request drew its own,
 * different services would answer one session in turn, and each would need its own prefill of the prompt.
 */
function choosePool(route: Route, { id, session }: CallerRequest): string {
    if (route.pools.length === 1) {
        return route.pools[0].pool;
    }
    let total = 0;
    for (const share of route.pools) {
        total += share.weight;
    }
    let remainingWeight = getUnitRank(route.name, session ?? id) * total;
    for (const share of route.pools) {
        remainingWeight -= share.weight;
        if (remainingWeight < 0) {
            return share.pool;
        }
    }
    return route.pools[route.pools.length - 1].pool;
}

function roundMilliseconds(milliseconds: number | undefined): number | undefined {
    return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

function createRefusal(kind: "not-found" | "unauthorized" | "too-large", message: string, remedy: string): Refusal {
    return { outcome: "not-run", failure: new Failure({ kind, message, remedy }) };
}
