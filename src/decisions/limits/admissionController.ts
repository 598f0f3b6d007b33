/**
 * Admits requests up to the adaptive limit, fairly between workspaces, and refuses the others without delay.
 *
 * A request that cannot be served is refused as soon as this is known, usually on arrival, with a retry time. Holding it until near its
 * deadline would prevent its caller from going elsewhere and would fill memory with requests that fail anyway.
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

/** Receives the decision on a request. */
export type AdmissionCallback = (result: Result<Ticket, Failure>) => void;

/** Maximum number of consecutive early retries that each double the minimum retry time. */
const maxDoublings = 4;

interface QueuedRequest extends FairQueueItem {
    readonly request: AdmissionRequest;
    readonly resolve: AdmissionCallback;
    /** Whether the workspace was below its share when the request arrived. */
    readonly isBelowShare: boolean;
    stopWaiting: () => void;
}

/** Decides which requests one entry admits. */
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
     * Sets this entry's share of the upstreams' capacity.
     * @param requests - Capacity in concurrent requests.
     */
    setCapacity(requests: number): void {
        this.#limit.setCapacity(requests);
        this.#admitQueued();
    }

    /** Returns the current limit, in concurrent requests. */
    getLimit(): number {
        return this.#limit.get();
    }

    /** Returns the number of requests in flight. */
    getInFlight(): number {
        return this.#inFlight;
    }

    /** Returns the number of requests that wait for a slot. */
    getQueueLength(): number {
        return this.#queue.getSize();
    }

    /**
     * Requests a slot.
     * @returns A ticket that must be released when the request has ended, or the refusal.
     */
    admit(request: AdmissionRequest): Promise<Result<Ticket, Failure>> {
        return new Promise(resolve => this.offer(request, resolve));
    }

    /**
     * Requests a slot and calls back with the decision, synchronously if it can be made at once.
     * @param request - The request.
     * @param resolve - Called with the decision exactly once.
     */
    offer(request: AdmissionRequest, resolve: AdmissionCallback): void {
        const now = this.#clock.monotonic();
        const earlyRetries = this.#countEarlyRetries(request, now);
        if (earlyRetries > 0) {
            // A workspace whose callers ignore Retry-After is charged as if the request had been served.
            this.#queue.charge(request.workspace, request.share, request.estimatedTokens);
        }
        // Determined before the workspace is charged, since the charge alone would put it ahead of the virtual time.
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
            // Low priorities leave the last slots to other requests, except for the first request of a workspace.
            const isFirst = !this.#workspaces.isActive(request.workspace);
            return this.#inFlight < limit * (isFirst ? 1 : threshold);
        }
        if (isBelowShare) {
            // A workspace below its share does not have to wait for requests of larger workspaces to finish.
            return this.#inFlight < limit * (1 + this.#options.burstShare);
        }
        return this.#queue.getSize() === 0 && this.#inFlight < limit;
    }

    /** Returns whether a workspace is below its share: recently, by its charged tokens, or currently, by its slots. */
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

    /** Rejects the requests that can no longer be served in time because a new request was queued before them. */
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
        const hasChanged = this.#limit.addAnswer({
            firstTokenMilliseconds: release.firstTokenMilliseconds,
            holdMilliseconds,
            hasFailed: release.outcome !== "ok",
        }, now);
        const capacity = Math.round(this.#limit.getCapacity());
        const limit = this.#limit.get();
        if (!hasChanged) {
            return;
        }
        if (limit < previousLimit) {
            this.#journal?.write(events.admissionLimitLowered, { limit, capacity });
        }
        else if (limit >= capacity && previousLimit < capacity) {
            this.#journal?.write(events.admissionLimitRestored, { limit, capacity });
        }
    }

    /** Returns the number of consecutive early retries, by the caller if it is known, otherwise by its workspace's retry budget. */
    #countEarlyRetries(request: AdmissionRequest, now: number): number {
        if (request.caller !== undefined) {
            return this.#refusedCallers.countEarlyRetries(request.caller, now);
        }
        const budget = this.#getRetryBudget(request.workspace);
        if (request.isRetry !== true) {
            budget.addRequest();
            return 0;
        }
        return budget.tryAcquire() ? 0 : 1;
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
        // A workspace below its share does not have to wait for the scheduled retries of those above their share.
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
        ? "The first token can't be returned before the request's deadline."
        : "The load on this entry exceeds the capacity of its upstreams.";
    return new Failure({
        kind,
        message,
        remedy: "Retry after the given time, not earlier: an early retry increases the wait.",
        retryAfterMilliseconds,
    });
}
