/**
 * Sends requests to single upstreams and records the results for the choice of upstreams.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/index.js";
import type {
    CallOutcome,
    PromptDescription,
    RestLimit,
    SendLimit,
    UpstreamPick,
    UpstreamPicker,
    WindowedRetryBudget,
} from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { RegisteredUpstream, UpstreamRegistry } from "../fleet/index.js";
import type { CrashWatch, RunEnd } from "../quarantine/index.js";
import type { VersionSelection } from "../rollouts/index.js";
import { isRepeatable } from "../routing/index.js";
import type { Attempt, AttemptFailure, AttemptRequest, EndedAttempt } from "./attempt.js";
import type { Exchange } from "./exchange.js";
import type { ForwardingMetrics } from "./metrics.js";
import type { UpstreamCallFailure, UpstreamTransport } from "./upstreamCall.js";
import type { UpstreamObserver } from "./upstreamObserver.js";

/** Options of `Attempts`. */
export interface AttemptsOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly metrics: ForwardingMetrics;
    readonly registry: UpstreamRegistry;
    readonly picker: UpstreamPicker;
    /** The limits that the picker observes; here, the requests that were sent are added to them. */
    readonly sendLimit: SendLimit<RegisteredUpstream>;
    readonly restLimit: Pick<RestLimit<RegisteredUpstream>, "getWait">;
    readonly transport: UpstreamTransport;
    readonly observer: UpstreamObserver;
    /** Returns whether this node, or another one that would forward the request, can connect to upstreams of a pool. */
    readonly isReachable: (pool: string) => boolean;
    readonly crashWatch: CrashWatch;
    /** Opens a connection to an address and closes it. Returns whether that succeeded. */
    readonly isAcceptingConnections: (address: string) => Promise<boolean>;
    /** Returns the retry budget of a pool. */
    readonly getBudget: (pool: string) => WindowedRetryBudget;
    /** Returns the upstreams that may serve an exchange according to the current roll-out. */
    readonly selectVersion: (exchange: Exchange, candidates: readonly RegisteredUpstream[]) => VersionSelection;
    /** Called when an attempt starts. Returns a callback for its end. */
    readonly onStart: (exchange: Exchange, upstream: RegisteredUpstream) => (attempt: EndedAttempt) => void;
}

interface PickedUpstream {
    readonly pick: UpstreamPick;
    readonly versionReason: string | undefined;
}

/** Urgency of the least urgent priorities. 0 is the most urgent. */
const maxUrgencyValue = 8;
/** Load of an upstream whose slots are all in use, as a share of them. */
const fullLoad = 1;

/** Makes attempts at upstreams. */
export class Attempts {
    readonly #options: AttemptsOptions;

    constructor(options: AttemptsOptions) {
        this.#options = options;
    }

    /**
     * Returns the expected time until an answer to a prompt starts, in milliseconds. Undefined when no upstream is available.
     * @param exchange - The request.
     * @param prompt - The prompt.
     */
    estimate(exchange: Exchange, prompt: PromptDescription): number | undefined {
        const pick = this.#pick(exchange, prompt, new Set())?.pick;
        return pick && pick.expectedMilliseconds * this.#options.picker.getWaitRatio();
    }

    /**
     * Makes one attempt.
     * @param request - The request and its timeouts.
     */
    async make(request: AttemptRequest): Promise<Result<Attempt, AttemptFailure>> {
        const { exchange } = request;
        await exchange.lastEvaluation;
        if (exchange.ended.aborted) {
            return err({ kind: "not-made", reason: "ended" });
        }
        if (exchange.attempts >= exchange.route.maxAttempts) {
            return err({ kind: "not-made", reason: "attempts" });
        }
        const quarantineMilliseconds = this.#options.crashWatch.admit(exchange.watchedRequest);
        if (quarantineMilliseconds !== undefined) {
            if (exchange.attempts === 0) {
                this.#options.metrics.refusals.inc({ kind: "quarantined" });
            }
            return err({ kind: "not-made", reason: "quarantined", retryAfterMilliseconds: quarantineMilliseconds });
        }
        if (!this.#options.isReachable(exchange.pool)) {
            return err({ kind: "not-made", reason: "unreachable" });
        }
        const selected = this.#pick(exchange, request.prompt, exchange.excluded);
        if (selected === undefined) {
            return err(this.#createUnpicked(exchange));
        }
        const { pick, versionReason } = selected;
        // A request that has already run in part is better late than broken off.
        if (exchange.outcome === "not-run" && pick.load >= fullLoad && this.#isAnyResting(exchange)) {
            return err(this.#createUnpicked(exchange));
        }
        const budget = this.#options.getBudget(exchange.pool);
        if (!exchange.isCountedInBudget) {
            exchange.isCountedInBudget = true;
            budget.addRequest();
        }
        else if (exchange.attempts > 0 && !budget.tryAcquire()) {
            return err({ kind: "not-made", reason: "budget" });
        }
        exchange.addAttempt(pick.upstream);
        return this.#send(request, pick, versionReason);
    }

    /**
     * Picks an upstream of the version that serves the request. When all upstreams of that version are warming up and may get nothing
     * from this node now, as at the beginning of a roll-out, a version with warm upstreams serves it.
     */
    #pick(
        exchange: Exchange,
        prompt: PromptDescription | undefined,
        excluded: ReadonlySet<string>,
    ): PickedUpstream | undefined {
        const { registry, picker, selectVersion } = this.#options;
        const available = registry.getAvailable(exchange.pool);
        const pickAmong = (candidates: readonly RegisteredUpstream[]): PickedUpstream | undefined => {
            const { upstreams, reason } = selectVersion(exchange, candidates);
            const pick = picker.pick({ pool: exchange.pool, candidates: upstreams, excluded, prompt });
            return pick && { pick, versionReason: reason };
        };
        const isWarmingUp = ({ id }: RegisteredUpstream): boolean => registry.warmUps.isWarmingUp(id);
        return pickAmong(available)
            ?? (available.some(isWarmingUp) ? pickAmong(available.filter(one => !isWarmingUp(one))) : undefined);
    }

    /** Returns whether an upstream of the pool rests. Its requests must not be heaped upon the others when these are full. */
    #isAnyResting({ pool }: Exchange): boolean {
        const { registry, restLimit } = this.#options;
        return registry.getAvailable(pool).some(one => restLimit.getWait(one) > 0);
    }

    #createUnpicked(exchange: Exchange): AttemptFailure {
        const { registry, restLimit } = this.#options;
        const waits = registry.getAvailable(exchange.pool).map(one => restLimit.getWait(one));
        const reason = this.#isAnyLimited(exchange) ? "limited" : "nobody";
        return {
            kind: "not-made",
            reason,
            retryAfterMilliseconds: waits.length === 0 ? undefined : Math.min(...waits),
        };
    }

    /** Returns whether an upstream that was not tried yet gets nothing from this node now because of a limit. */
    #isAnyLimited({ pool, excluded }: Exchange): boolean {
        const { registry, sendLimit } = this.#options;
        return registry.getAvailable(pool).some(one => !excluded.has(one.id) && !sendLimit.isAdmitted(one));
    }

    async #send(
        request: AttemptRequest,
        pick: UpstreamPick,
        versionReason: string | undefined,
    ): Promise<Result<Attempt, AttemptFailure>> {
        const { exchange, prompt } = request;
        const { upstream, prefillMilliseconds } = pick;
        const choice = `${pick.reason} at load ${pick.load.toFixed(2)}, ${
            Math.round(pick.expectedMilliseconds)
        } ms expected`;
        const { clock, crashWatch, observer, picker, registry, sendLimit, transport } = this.#options;
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
        const isWarmingUp = registry.warmUps.isWarmingUp(upstream.id);
        const mayBeLoad = isWarmingUp || observer.isRejectionLimited(upstream);
        const run = crashWatch.startRun(exchange.watchedRequest, upstream);
        let headMilliseconds: number | undefined = undefined;
        let confidence: number | undefined = undefined;
        let isFinished = false;
        const finish = (outcome: CallOutcome, reason: string, end: RunEnd): void => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            exchange.ended.removeEventListener("abort", cancel);
            exchange.lastEvaluation = crashWatch.evaluate(run, {
                end,
                mayBeLoad,
                isLastAttempt: !isRepeatable(exchange.route) || exchange.attempts >= exchange.route.maxAttempts,
            });
            const ended = { exchange, upstream, model: request.model, outcome, headMilliseconds, isWarmingUp };
            onEnd(ended);
            const promptTokens = prompt?.tokens;
            this.#finish(ended, { choice, versionReason, reason, startedAt, promptTokens, confidence });
        };
        const onEnd = this.#options.onStart(exchange, upstream);
        picker.start(upstream.id);
        sendLimit.add(upstream);
        picker.addPendingPrefill(upstream.id, prefillMilliseconds);
        const endWait = observer.startCall(upstream);
        const result = await transport.call(upstream, {
            request: exchange.request,
            getTimeLeft: () => exchange.getTimeLeft(),
            workspace: exchange.workspace,
            model: request.model,
            urgency: Math.min(maxUrgencyValue, 1 + 2 * exchange.priority),
            lastEventId: request.lastEventId,
            isWithdrawn: () => run.isWithdrawn(),
            signal: controller.signal,
        });
        clearTimeout(timer);
        endWait();
        picker.addPendingPrefill(upstream.id, -prefillMilliseconds);
        if (result.isErr()) {
            if (result.error.kind === "not-sent" || result.error.kind === "no-room") {
                exchange.removeAttempt();
            }
            finish(
                this.#classifyFailure(exchange, result.error, isHeadTimedOut),
                isHeadTimedOut ? "no answer in time" : result.error.reason,
                result.error.kind === "disconnected" ? "disconnected" : "stopped",
            );
            observer.observeFailure(upstream, result.error, startedAt);
            this.#applyFailure(upstream, result.error, isHeadTimedOut);
            return err({ kind: "failed", failure: result.error });
        }
        headMilliseconds = clock.monotonic() - startedAt;
        run.markHead();
        confidence = result.value.confidence;
        observer.observeAnswer(upstream, result.value, startedAt);
        if (prompt !== undefined && !isWarmingUp) {
            picker.addHeadTime(prompt.model, headMilliseconds, pick);
        }
        const markSeen = (): void => {
            observer.markSeen(upstream);
            run.markPiece();
        };
        const isUpstreamUp = (): Promise<boolean> => this.#options.isAcceptingConnections(upstream.address);
        return ok({ upstream, answer: result.value, finish, cancel, markSeen, isUpstreamUp });
    }

    #classifyFailure(exchange: Exchange, failure: UpstreamCallFailure, isHeadTimedOut: boolean): CallOutcome {
        if (failure.kind === "refused" || failure.kind === "replaced" || failure.kind === "no-room") {
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
        const { registry, transport } = this.#options;
        if (isHeadTimedOut && failure.kind !== "no-room") {
            transport.renewConnections(upstream);
        }
        if (failure.kind === "replaced") {
            // The record of a replaced upstream is outdated. Until it is removed, no more requests go to its address
            // under its identifier.
            registry.markLeaving(upstream.id);
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
            fingerprint: isBroken(outcome) ? exchange.watchedRequest.getFingerprint() : undefined,
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

/** Returns whether an upstream broke off a call, as it does when it crashes. */
function isBroken(outcome: CallOutcome): boolean {
    return outcome === "failed" || outcome === "silent";
}
