/**
 * Sends an exchange to one upstream, and keeps what is learned of the upstream by it.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/index.js";
import type { CallOutcome, Pick, PromptLoad, UpstreamPicker, WindowedRetryBudget } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { RegisteredUpstream, UpstreamRegistry } from "../fleet/index.js";
import type { VersionSelection } from "../rollouts/index.js";
import type { Exchange } from "./exchange.js";
import type { ForwardingMetrics } from "./metrics.js";
import type { UpstreamAnswer, UpstreamCallFailure, UpstreamTransport } from "./upstreamCall.js";

/** What attempts are made with. */
export interface AttemptsOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly metrics: ForwardingMetrics;
    readonly registry: UpstreamRegistry;
    readonly picker: UpstreamPicker;
    readonly transport: UpstreamTransport;
    /** Returns the budget of repeats of a pool. */
    readonly getBudget: (pool: string) => WindowedRetryBudget;
    /** Returns the upstreams that may serve an exchange, by the roll-out under way. */
    readonly selectVersion: (exchange: Exchange, candidates: readonly RegisteredUpstream[]) => VersionSelection;
    /** Takes an attempt that begins; what it returns takes how the attempt ended. */
    readonly onStart: (exchange: Exchange, upstream: RegisteredUpstream) => (attempt: EndedAttempt) => void;
}

/** How an attempt ended. */
export interface EndedAttempt {
    readonly exchange: Exchange;
    readonly upstream: RegisteredUpstream;
    readonly model: string | undefined;
    readonly outcome: CallOutcome;
    /** From the sending to the answer's head; undefined when there was none. */
    readonly headMilliseconds: number | undefined;
}

/** What one attempt is made with. */
export interface AttemptRequest {
    readonly exchange: Exchange;
    readonly model: string | undefined;
    readonly lastEventId: string | undefined;
    /** Undefined for plain services. */
    readonly prompt: PromptLoad | undefined;
    /**
     * Returns how long to wait for the answer's head, in milliseconds. Undefined waits as long as the request may take: a timer of
     * its own would race with the request's, and callers whose time is over would be told that the upstream failed.
     * @param expectedMilliseconds - When it is expected.
     */
    readonly getHeadTimeout: (expectedMilliseconds: number) => number | undefined;
}

/** Why no attempt was made. */
export type NotMadeReason = "nobody" | "budget" | "attempts" | "ended";

/** An attempt that failed, or was not made. */
export type AttemptFailure =
    | { readonly kind: "not-made"; readonly reason: NotMadeReason; }
    | { readonly kind: "failed"; readonly failure: UpstreamCallFailure; };

/** An attempt whose answer has begun. */
export interface Attempt {
    readonly upstream: RegisteredUpstream;
    readonly answer: UpstreamAnswer;
    /** Ends the attempt and notes how. Everything after the first call is passed over. */
    readonly finish: (outcome: CallOutcome, reason: string) => void;
    /** Notes that a piece of the answer came. */
    readonly markSeen: () => void;
    /** Ends the upstream's work. */
    readonly cancel: () => void;
}

/** Urgency of the least urgent priority. */
const maxUrgencyValue = 8;

/** Makes attempts. */
export class Attempts {
    readonly #options: AttemptsOptions;

    constructor(options: AttemptsOptions) {
        this.#options = options;
    }

    /**
     * Returns when an answer to a prompt could begin, in milliseconds from now; undefined when nobody is left to ask.
     * @param exchange - The request.
     * @param prompt - The prompt.
     */
    estimate(exchange: Exchange, prompt: PromptLoad): number | undefined {
        const { upstreams } = this.#select(exchange);
        const pick = this.#options.picker.pick({
            pool: exchange.pool,
            candidates: upstreams,
            excluded: new Set(),
            prompt,
        });
        return pick && pick.expectedMilliseconds * this.#options.picker.getWaitRatio();
    }

    /**
     * Makes one attempt.
     * @param request - What to send, and how long to wait.
     */
    async make(request: AttemptRequest): Promise<Result<Attempt, AttemptFailure>> {
        const { exchange } = request;
        if (exchange.ended.aborted) {
            return err({ kind: "not-made", reason: "ended" });
        }
        if (exchange.attempts >= exchange.route.maxAttempts) {
            return err({ kind: "not-made", reason: "attempts" });
        }
        const { upstreams, reason } = this.#select(exchange);
        const pick = this.#options.picker.pick({
            pool: exchange.pool,
            candidates: upstreams,
            excluded: exchange.excluded,
            prompt: request.prompt,
        });
        if (pick === undefined) {
            return err({ kind: "not-made", reason: "nobody" });
        }
        const budget = this.#options.getBudget(exchange.pool);
        if (!exchange.isCountedInBudget) {
            exchange.isCountedInBudget = true;
            budget.addRequest();
        }
        else if (exchange.attempts > 0 && !budget.take()) {
            return err({ kind: "not-made", reason: "budget" });
        }
        exchange.addAttempt(pick.upstream);
        return this.#send(request, pick, reason);
    }

    #select(exchange: Exchange): VersionSelection {
        return this.#options.selectVersion(exchange, this.#options.registry.getAvailable(exchange.pool));
    }

    async #send(
        request: AttemptRequest,
        pick: Pick,
        versionReason: string | undefined,
    ): Promise<Result<Attempt, AttemptFailure>> {
        const { exchange, prompt } = request;
        const { upstream, prefillMilliseconds } = pick;
        const choice = `${pick.reason} at load ${pick.load.toFixed(2)}, ${
            Math.round(pick.expectedMilliseconds)
        } ms expected`;
        const { clock, picker, transport } = this.#options;
        const controller = new AbortController();
        const cancel = (): void => controller.abort();
        exchange.ended.addEventListener("abort", cancel);
        let isHeadTimedOut = false;
        const handleHeadTimeout = (): void => {
            isHeadTimedOut = true;
            cancel();
        };
        const headTimeout = request.getHeadTimeout(pick.expectedMilliseconds * picker.getWaitRatio());
        const timer = headTimeout === undefined || headTimeout >= exchange.getTimeLeft()
            ? undefined
            : setTimeout(handleHeadTimeout, headTimeout);
        const startedAt = clock.monotonic();
        let headMilliseconds: number | undefined = undefined;
        let confidence: number | undefined = undefined;
        let isFinished = false;
        const finish = (outcome: CallOutcome, reason: string): void => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            exchange.ended.removeEventListener("abort", cancel);
            const ended = { exchange, upstream, model: request.model, outcome, headMilliseconds };
            onEnd(ended);
            const promptTokens = prompt?.tokens;
            this.#finish(ended, { choice, versionReason, reason, startedAt, promptTokens, confidence });
        };
        const onEnd = this.#options.onStart(exchange, upstream);
        picker.start(upstream.id);
        picker.addPendingPrefill(upstream.id, prefillMilliseconds);
        const result = await transport.call(upstream, {
            request: exchange.request,
            deadlineMilliseconds: exchange.getTimeLeft(),
            workspace: exchange.workspace,
            model: request.model,
            urgency: Math.min(maxUrgencyValue, 1 + 2 * exchange.priority),
            lastEventId: request.lastEventId,
            signal: controller.signal,
        });
        clearTimeout(timer);
        picker.addPendingPrefill(upstream.id, -prefillMilliseconds);
        if (result.isErr()) {
            if (result.error.kind === "not-sent") {
                exchange.removeAttempt();
            }
            finish(
                this.#classifyFailure(exchange, result.error, isHeadTimedOut),
                isHeadTimedOut ? "no answer in time" : result.error.reason,
            );
            this.#applyFailure(upstream, result.error, isHeadTimedOut);
            return err({ kind: "failed", failure: result.error });
        }
        headMilliseconds = clock.monotonic() - startedAt;
        confidence = result.value.confidence;
        picker.markSeen(upstream.id);
        if (prompt !== undefined) {
            picker.addHeadTime(prompt.model, headMilliseconds, pick);
        }
        const { load } = result.value;
        if (load !== undefined) {
            picker.addLoadReport(upstream, { requests: load.running + load.waiting, slots: load.slots });
        }
        return ok({ upstream, answer: result.value, finish, cancel, markSeen: () => picker.markSeen(upstream.id) });
    }

    #classifyFailure(exchange: Exchange, failure: UpstreamCallFailure, isHeadTimedOut: boolean): CallOutcome {
        if (failure.kind === "refused" || failure.kind === "replaced") {
            return "refused";
        }
        if (isHeadTimedOut) {
            return "silent";
        }
        if (exchange.ended.aborted) {
            return "cancelled";
        }
        return "silent";
    }

    #applyFailure(upstream: RegisteredUpstream, failure: UpstreamCallFailure, isHeadTimedOut: boolean): void {
        const { picker, registry, transport } = this.#options;
        if (isHeadTimedOut) {
            transport.renewConnections(upstream);
        }
        if (failure.kind === "replaced") {
            // Its entry outlived it; until the entry goes, nothing more is sent to that address under its name.
            registry.markLeaving(upstream.id);
        }
        if (failure.load !== undefined) {
            const { running, waiting, slots } = failure.load;
            picker.addLoadReport(upstream, { requests: running + waiting, slots });
        }
    }

    #finish(
        ended: EndedAttempt,
        details: {
            readonly choice: string;
            readonly versionReason: string | undefined;
            readonly reason: string;
            readonly startedAt: number;
            readonly promptTokens: number | undefined;
            readonly confidence: number | undefined;
        },
    ): void {
        const { exchange, upstream, outcome, headMilliseconds } = ended;
        const { clock, journal, picker, registry, metrics } = this.#options;
        metrics.attempts.inc({ pool: upstream.pool, version: upstream.version, outcome });
        if (headMilliseconds !== undefined) {
            metrics.heads.observe({ pool: upstream.pool, model: ended.model ?? "" }, headMilliseconds / 1_000);
        }
        picker.finish(upstream, outcome, registry.getAvailable(upstream.pool));
        journal.write(events.attemptEnded, {
            request: exchange.request.id,
            attempt: exchange.attempts,
            upstream: upstream.id,
            version: upstream.version,
            versionReason: details.versionReason,
            model: ended.model,
            promptTokens: details.promptTokens,
            confidence: details.confidence,
            choice: details.choice,
            outcome,
            reason: details.reason,
            headMs: headMilliseconds === undefined ? undefined : Math.round(headMilliseconds),
            wholeMs: Math.round(clock.monotonic() - details.startedAt),
        });
    }
}
