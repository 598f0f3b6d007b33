/**
 * Lets requests in up to the adaptive limit, fairly between workspaces, and refuses the rest at once.
 *
 * A request that will not be served gets its final answer when that is known, mostly at the door, with the time to come
 * back. Holding it until near its deadline would keep its caller from going elsewhere and fill memory with work that is
 * lost anyway.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, Failure, type FailureKind, type RandomSource } from "../../common/index.js";
import { events, type Journal } from "../../events/index.js";
import { AdaptiveLimit } from "./adaptiveLimit.js";
import type { AdmissionRequest, Release, Schedule } from "./admission.js";
import { FairQueue, type FairQueueItem } from "./fairQueue.js";
import { defaultLimitOptions, type LimitOptions } from "./options.js";
import { RefusedCallers } from "./refusedCallers.js";
import { RetryBudget } from "./retryBudget.js";
import { RetrySchedule } from "./retrySchedule.js";
import { Ticket } from "./ticket.js";
import { WorkspaceSlots } from "./workspaceSlots.js";

/** Takes the decision on a request. */
export type AdmissionCallback = (result: Result<Ticket, Failure>) => void;

/** Each early return in a row doubles the wait, this many times at most. */
const maxDoublings = 4;

interface QueuedRequest extends FairQueueItem {
    readonly request: AdmissionRequest;
    readonly resolve: AdmissionCallback;
    /** Whether its workspace was below its share when it came. */
    readonly isBelowShare: boolean;
    stopWaiting: () => void;
}

/** Decides which requests one entry takes on. */
export class AdmissionController {
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #options: LimitOptions;
    readonly #schedule: Schedule;
    readonly #journal: Journal | undefined;
    readonly #limit: AdaptiveLimit;
    readonly #queue = new FairQueue<QueuedRequest>();
    readonly #workspaces = new WorkspaceSlots();
    readonly #retrySchedule: RetrySchedule;
    readonly #refusedCallers: RefusedCallers;
    readonly #retryBudgets = new Map<string, RetryBudget>();
    #inFlight = 0;

    constructor(options: {
        readonly clock: Clock;
        readonly random: RandomSource;
        readonly options?: Partial<LimitOptions>;
        readonly schedule?: Schedule;
        readonly journal?: Journal;
    }) {
        this.#clock = options.clock;
        this.#random = options.random;
        this.#options = { ...defaultLimitOptions, ...options.options };
        this.#schedule = options.schedule ?? scheduleByTimer;
        this.#journal = options.journal;
        this.#limit = new AdaptiveLimit(this.#options);
        this.#retrySchedule = new RetrySchedule(options.random, this.#options.maxRetryMilliseconds);
        this.#refusedCallers = new RefusedCallers(this.#options.maxTrackedCallers);
    }

    /**
     * Sets the part of the upstreams' capacity that falls to this entry.
     * @param requests - Requests at a time.
     */
    setCapacity(requests: number): void {
        this.#limit.setCapacity(requests);
        this.#admitQueued();
    }

    /** Returns the present limit, in requests at a time. */
    getLimit(): number {
        return this.#limit.get();
    }

    /** Returns how many requests are at work. */
    getInFlight(): number {
        return this.#inFlight;
    }

    /** Returns how many requests wait for a place. */
    getQueueLength(): number {
        return this.#queue.getSize();
    }

    /**
     * Asks for a place.
     * @returns A ticket to be released when the work ended, or the refusal.
     */
    admit(request: AdmissionRequest): Promise<Result<Ticket, Failure>> {
        return new Promise(resolve => this.offer(request, resolve));
    }

    /**
     * Asks for a place and calls back, at once if the decision can be made at once.
     * @param request - The request.
     * @param resolve - Takes the decision, exactly once.
     */
    offer(request: AdmissionRequest, resolve: AdmissionCallback): void {
        const now = this.#clock.monotonic();
        const earlyRetries = this.#countEarlyRetries(request, now);
        if (earlyRetries > 0) {
            // Whoever ignores Retry-After pays for asking as if it had been served.
            this.#queue.charge(request.workspace, request.share, request.estimatedTokens);
        }
        // Asked before the workspace is charged: the charge alone would put it ahead.
        const isBelowShare = this.#isBelowShare(request);
        if (this.#canAdmit(request, isBelowShare)) {
            this.#queue.start(request.workspace, request.share, request.estimatedTokens);
            resolve(ok(this.#createTicket({ request, since: now, isBelowShare })));
            return;
        }
        const reason = this.#findRefusalReason(request, earlyRetries);
        if (reason !== undefined) {
            resolve(err(this.#refuse(request, reason, earlyRetries)));
            return;
        }
        this.#enqueue({ request, resolve, isBelowShare }, now);
    }

    #canAdmit(request: AdmissionRequest, isBelowShare: boolean): boolean {
        const limit = this.#limit.get();
        const threshold = this.#getThreshold(request.priority);
        if (threshold < 1) {
            // Low priorities leave the last places to the others; one of each workspace may use them nonetheless.
            const isFirst = !this.#workspaces.isActive(request.workspace);
            return this.#inFlight < limit * (isFirst ? 1 : threshold);
        }
        if (isBelowShare) {
            // A workspace that uses less than its part need not wait for the large ones to finish.
            return this.#inFlight < limit * (1 + this.#options.burstShare);
        }
        return this.#queue.getSize() === 0 && this.#inFlight < limit;
    }

    /** Places tell it of the moment; what the workspace has paid tells it of the last while. */
    #isBelowShare(request: AdmissionRequest): boolean {
        return this.#queue.isBehind(request.workspace)
            || this.#workspaces.isBelowShare(request.workspace, request.share, this.#limit.get());
    }

    #getThreshold(priority: number): number {
        const thresholds = this.#options.priorityThresholds;
        return thresholds[Math.min(Math.max(0, Math.floor(priority)), thresholds.length - 1)];
    }

    #findRefusalReason(request: AdmissionRequest, earlyRetries: number): FailureKind | undefined {
        if (earlyRetries > 0 || this.#getThreshold(request.priority) < 1) {
            return "overloaded";
        }
        const queuedAhead = this.#queue.countAhead(request.workspace, request.share, request.priority);
        const wait = (queuedAhead + 1) / this.#limit.getCompletionsPerMillisecond();
        if (wait + (this.#limit.getSmoothedFirstTokenMilliseconds() ?? 0) > request.deadlineMilliseconds) {
            return "deadline";
        }
        return queuedAhead > 0 && wait > this.#options.maxQueueMilliseconds ? "overloaded" : undefined;
    }

    #enqueue(arrival: Pick<QueuedRequest, "request" | "resolve" | "isBelowShare">, now: number): void {
        const { request } = arrival;
        const queued: QueuedRequest = {
            workspace: request.workspace,
            share: request.share,
            priority: request.priority,
            tokens: request.estimatedTokens,
            since: now,
            ...arrival,
            stopWaiting: () => {},
        };
        const reject = (): void => this.#rejectQueued(queued);
        const cancel = this.#schedule(this.#options.maxQueueMilliseconds, reject);
        request.signal?.addEventListener("abort", reject);
        queued.stopWaiting = () => {
            cancel();
            request.signal?.removeEventListener("abort", reject);
        };
        this.#queue.add(queued);
        this.#shortenQueue();
    }

    /** A newcomer may have gone before others; whoever can no longer be served in time is told now, not later. */
    #shortenQueue(): void {
        const maxLength = Math.max(
            1,
            Math.floor(this.#limit.getCompletionsPerMillisecond() * this.#options.maxQueueMilliseconds),
        );
        while (this.#queue.getSize() > maxLength) {
            const last = this.#queue.findLast();
            if (last === undefined) {
                return;
            }
            this.#rejectQueued(last);
        }
    }

    #rejectQueued(queued: QueuedRequest): void {
        if (!this.#queue.remove(queued)) {
            return;
        }
        queued.stopWaiting();
        queued.resolve(err(this.#refuse(queued.request, "overloaded", 0)));
    }

    #admitQueued(): void {
        while (this.#inFlight < this.#limit.get()) {
            const queued = this.#queue.shift();
            if (queued === undefined) {
                return;
            }
            queued.stopWaiting();
            queued.resolve(ok(this.#createTicket(queued)));
        }
    }

    #createTicket(queued: Pick<QueuedRequest, "request" | "since" | "isBelowShare">): Ticket {
        const { request, since, isBelowShare } = queued;
        const now = this.#clock.monotonic();
        this.#inFlight += 1;
        this.#workspaces.add(request.workspace, request.share);
        this.#limit.recordInFlight(this.#inFlight);
        if (request.caller !== undefined) {
            this.#refusedCallers.remove(request.caller);
        }
        return new Ticket({
            waitedMilliseconds: now - since,
            priority: isBelowShare ? Math.max(0, request.priority - 1) : request.priority,
            release: release => this.#release(request, release, now),
        });
    }

    #release(request: AdmissionRequest, release: Release, since: number): void {
        const now = this.#clock.monotonic();
        this.#inFlight -= 1;
        this.#workspaces.remove(request.workspace);
        const unchargedTokens = release.tokens - request.estimatedTokens;
        if (unchargedTokens > 0) {
            this.#queue.charge(request.workspace, request.share, unchargedTokens);
        }
        if (release.outcome !== "cancelled") {
            this.#updateLimit(release, now - since, now);
        }
        this.#admitQueued();
    }

    #updateLimit(release: Release, holdMilliseconds: number, now: number): void {
        const previousLimit = this.#limit.get();
        const hasMoved = this.#limit.addAnswer({
            firstTokenMilliseconds: release.firstTokenMilliseconds,
            holdMilliseconds,
            hasFailed: release.outcome !== "ok",
        }, now);
        const capacity = Math.round(this.#limit.getCapacity());
        const limit = this.#limit.get();
        if (!hasMoved) {
            return;
        }
        if (limit < previousLimit) {
            this.#journal?.write(events.admissionLimitLowered, { limit, capacity });
        }
        else if (limit >= capacity && previousLimit < capacity) {
            this.#journal?.write(events.admissionLimitRestored, { limit, capacity });
        }
    }

    /** Returns how many times in a row the caller came back too soon, by its name or by its workspace's budget. */
    #countEarlyRetries(request: AdmissionRequest, now: number): number {
        if (request.caller !== undefined) {
            return this.#refusedCallers.countEarlyRetries(request.caller, now);
        }
        const budget = this.#getRetryBudget(request.workspace);
        if (request.isRetry !== true) {
            budget.addRequest();
            return 0;
        }
        return budget.take() ? 0 : 1;
    }

    #getRetryBudget(workspace: string): RetryBudget {
        let budget = this.#retryBudgets.get(workspace);
        if (budget === undefined) {
            budget = new RetryBudget({ ratio: this.#options.retryRatio });
            this.#retryBudgets.set(workspace, budget);
        }
        return budget;
    }

    #refuse(request: AdmissionRequest, kind: FailureKind, earlyRetries: number): Failure {
        const now = this.#clock.monotonic();
        const factor = 2 ** Math.min(maxDoublings, earlyRetries);
        const minMilliseconds = this.#options.minRetryMilliseconds * factor;
        // Whoever is below its share need not stand behind the returns of those above.
        const retryAfterMilliseconds = earlyRetries === 0 && this.#isBelowShare(request)
            ? Math.round(minMilliseconds * (1 + this.#random.next()))
            : this.#retrySchedule.add(now, {
                minMilliseconds,
                retriesPerSecond: this.#limit.getCompletionsPerMillisecond() * 1_000
                    * this.#options.retryThroughputShare,
            });
        if (request.caller !== undefined) {
            this.#refusedCallers.add(request.caller, { notBefore: now + retryAfterMilliseconds, earlyRetries });
        }
        return createRefusal(kind, retryAfterMilliseconds);
    }
}

function scheduleByTimer(milliseconds: number, run: () => void): () => void {
    const timer = setTimeout(run, milliseconds);
    return () => clearTimeout(timer);
}

function createRefusal(kind: FailureKind, retryAfterMilliseconds: number): Failure {
    const message = kind === "deadline"
        ? "The first token can't come before the request's deadline."
        : "More is asked of this entry than its upstreams can do.";
    return new Failure({
        kind,
        message,
        remedy: "Come back after the given time and not before: an earlier return waits longer.",
        retryAfterMilliseconds,
    });
}
