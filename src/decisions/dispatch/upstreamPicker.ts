/**
 * The choice of an upstream for a request, among those that are registered.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { RegisteredUpstream } from "../../fleet/index.js";
import { AverageLoad } from "./averageLoad.js";
import type { PromptDescription, UpstreamPick, UpstreamPickOptions } from "./pick.js";
import { PrefillRate } from "./prefillRate.js";
import { PromptHolders } from "./promptHolders.js";
import { RunnerSubsets } from "./runnerSubsets.js";
import { type CallOutcome, type ReportedRequests, UpstreamStatus } from "./upstreamStatus.js";

/** At most this part of a pool is ejected; beyond it the fault is hardly that of single upstreams. */
const maxEjectedShare = 0.34;
/** A plain service counts as full in the own failure domain at this part of its slots. */
const fullLoadShare = 0.9;
/** Time by which each request at a runner delays the head of another answer there, in milliseconds. */
const delayMillisecondsPerRequest = 15;
/**
 * What a request in another failure domain must gain in time to be worth its way, in milliseconds: for the way itself, and for
 * each kilobyte, since bytes between failure domains are paid for.
 */
const crossDomainMilliseconds = 60;
const crossDomainMillisecondsPerKilobyte = 4;
/** Parts of a prompt that are shared are likely to be in the memory of the first two runners by rank of their key. */
const cacheHitProbabilities = [0.9, 0.4] as const;
/**
 * Loads are taken so much higher or lower at random: many nodes read the same reports, and all of them would send their
 * next request to the runner that looked emptiest.
 */
const loadNoise = 0.25;

/**
 * Weight of the newest answer in the ratio of waits to expectations, and the bounds of one answer's. When a whole pool is
 * crowded by other nodes, expectations are all too low; runners are then slow, not away, and giving them up adds to the crowd.
 */
const ratioWeight = 0.06;
const maxRatio = 8;
/** Waits below this say little about a crowd, in milliseconds. */
const minExpectedMilliseconds = 80;

/** Picks upstreams for one node and keeps what it learns of them. */
export class UpstreamPicker {
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #failureDomain: string;
    readonly #groups: RunnerSubsets;
    readonly #holders = new PromptHolders();
    readonly #onEject: (upstream: string, milliseconds: number) => void;
    readonly #statuses = new Map<string, UpstreamStatus>();
    readonly #prefillRates = new PrefillRate();
    /** By pool. */
    readonly #averageLoads = new Map<string, AverageLoad>();
    #waitRatio = 1;

    constructor(options: {
        readonly clock: Clock;
        /** Identifier of this node. */
        readonly self: string;
        /** Failure domain of this node. */
        readonly failureDomain: string;
        readonly random: RandomSource;
        readonly onEject: (upstream: string, milliseconds: number) => void;
    }) {
        this.#clock = options.clock;
        this.#random = options.random;
        this.#failureDomain = options.failureDomain;
        this.#groups = new RunnerSubsets(options);
        this.#onEject = options.onEject;
    }

    /**
     * Picks an upstream.
     * @returns Undefined when no candidate is left.
     */
    pick(options: UpstreamPickOptions): UpstreamPick | undefined {
        const now = this.#clock.monotonic();
        const untried = exclude(options.candidates, ({ id }) => options.excluded.has(id));
        const healthy = exclude(untried, ({ id }) => this.#getStatus(id).isEjected(now));
        if (healthy.length === 0) {
            // Trying an ejected upstream beats refusing.
            return this.#createPick(this.#findLeastLoaded(untried, now), "ejected", now);
        }
        if (options.prompt !== undefined) {
            return this.#findLeastWait(healthy, options.prompt, now);
        }
        const sameDomain = healthy.filter(upstream => upstream.failureDomain === this.#failureDomain);
        const upstream = this.#findWithFreeCapacity(sameDomain, now) ?? this.#findLeastLoaded(healthy, now);
        return this.#createPick(upstream, "least-loaded", now);
    }

    /**
     * Notes that a prompt waits to be read by an upstream, or no longer does.
     * @param upstream - Identifier of the upstream.
     * @param milliseconds - Time that reading it takes; negative when it has been read.
     */
    addPendingPrefill(upstream: string, milliseconds: number): void {
        this.#getStatus(upstream).addPendingPrefill(milliseconds);
    }

    /**
     * Notes that something came from an upstream.
     * @param upstream - Its identifier.
     */
    markSeen(upstream: string): void {
        this.#getStatus(upstream).markSeen(this.#clock.monotonic());
    }

    /**
     * Notes how long a prompt took.
     * @param model - The model that answered.
     * @param milliseconds - Time to the head of the answer.
     * @param pick - What was expected.
     */
    addHeadTime(model: string | undefined, milliseconds: number, pick: UpstreamPick): void {
        const { expectedMilliseconds, prefillMilliseconds, uncachedTokens } = pick;
        this.#prefillRates.add({
            model,
            tokens: uncachedTokens,
            fixedHeadMilliseconds: milliseconds,
            waitingMilliseconds: expectedMilliseconds - prefillMilliseconds,
        });
        const ratio = Math.min(maxRatio, milliseconds / Math.max(minExpectedMilliseconds, expectedMilliseconds));
        this.#waitRatio += ratioWeight * (ratio - this.#waitRatio);
    }

    /** Returns how many times as long as expected answers to prompts take to begin, at least once. */
    getWaitRatio(): number {
        return Math.max(1, this.#waitRatio);
    }

    /**
     * Notes a call that begins.
     * @param upstream - Identifier of the upstream.
     */
    start(upstream: string): void {
        this.#getStatus(upstream).start();
    }

    /**
     * Notes the load that came with an answer.
     * @param upstream - The upstream.
     * @param load - The load.
     */
    addLoadReport(upstream: RegisteredUpstream, load: ReportedRequests): void {
        const others = this.#getStatus(upstream.id).addLoadReport(load, this.#clock.monotonic());
        this.#getAverageLoad(upstream.pool).add(others, load.slots);
    }

    /**
     * Notes a call that ended.
     * @param upstream - The upstream.
     * @param outcome - How the call ended.
     * @param pool - The upstreams of its pool.
     */
    finish(upstream: RegisteredUpstream, outcome: CallOutcome, pool: readonly RegisteredUpstream[]): void {
        const status = this.#getStatus(upstream.id);
        const now = this.#clock.monotonic();
        status.finish(outcome, now);
        if (outcome === "ok" || status.isEjected(now) || !status.isOutlier(this.#getFailureRate(pool, upstream))) {
            return;
        }
        const ejected = pool.filter(other => this.#getStatus(other.id).isEjected(now)).length;
        if ((ejected + 1) / Math.max(1, pool.length) <= maxEjectedShare) {
            this.#onEject(upstream.id, status.eject(now));
        }
    }

    /**
     * Forgets what was learned of an upstream.
     * @param upstream - Its identifier.
     */
    forget(upstream: string): void {
        this.#statuses.delete(upstream);
        this.#groups.forget(upstream);
        this.#holders.forget(upstream);
    }

    #getStatus(id: string): UpstreamStatus {
        let status = this.#statuses.get(id);
        if (status === undefined) {
            status = new UpstreamStatus();
            this.#statuses.set(id, status);
        }
        return status;
    }

    #getAverageLoad(pool: string): AverageLoad {
        let load = this.#averageLoads.get(pool);
        if (load === undefined) {
            load = new AverageLoad();
            this.#averageLoads.set(pool, load);
        }
        return load;
    }

    /** Returns the requests that are expected at an upstream, of all nodes. */
    #getExpectedRequests({ id, pool, slots }: RegisteredUpstream, now: number): number {
        return this.#getStatus(id).getExpectedRequests(now, this.#getAverageLoad(pool).getOtherRequests(slots));
    }

    #getLoad(upstream: RegisteredUpstream, now: number): number {
        return this.#getExpectedRequests(upstream, now) / upstream.slots;
    }

    /** Failure rate of the pool's other upstreams: faults that all of them have are the pool's, not one upstream's. */
    #getFailureRate(pool: readonly RegisteredUpstream[], except: RegisteredUpstream): number {
        const others = pool.filter(upstream => upstream.id !== except.id);
        let sum = 0;
        for (const upstream of others) {
            sum += this.#getStatus(upstream.id).getFailureRate();
        }
        return others.length === 0 ? 1 : sum / others.length;
    }

    #createPick(
        upstream: RegisteredUpstream | undefined,
        reason: UpstreamPick["reason"],
        now: number,
    ): UpstreamPick | undefined {
        return upstream && {
            upstream,
            reason,
            load: this.#getLoad(upstream, now),
            expectedMilliseconds: 0,
            prefillMilliseconds: 0,
            uncachedTokens: 0,
        };
    }

    /** Weighs what is read already against what waits: a shared part saves its reading, a crowded runner costs more. */
    #findLeastWait(
        candidates: readonly RegisteredUpstream[],
        prompt: PromptDescription,
        now: number,
    ): UpstreamPick | undefined {
        const holders = this.#holders.findTwoHolders(candidates, prompt.sharedKey);
        const domainCost = crossDomainMilliseconds + crossDomainMillisecondsPerKilobyte * prompt.bytes / 1_024;
        let best: UpstreamPick | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const upstream of this.#groups.selectCandidates(candidates, holders)) {
            const status = this.#getStatus(upstream.id);
            const hitProbability = cacheHitProbabilities[holders.indexOf(upstream.id)] ?? 0;
            const uncachedTokens = prompt.tokens - hitProbability * prompt.sharedTokens;
            const prefillMilliseconds = this.#prefillRates.getPrefillMilliseconds(prompt.model, uncachedTokens);
            const noise = 1 + loadNoise * (2 * this.#random.next() - 1);
            const requests = this.#getExpectedRequests(upstream, now) * noise;
            const waiting = requests * delayMillisecondsPerRequest + status.getPendingPrefillMilliseconds();
            const isFull = requests >= upstream.slots;
            const domainPenalty = upstream.failureDomain === this.#failureDomain ? 0 : domainCost;
            const cost = waiting * (isFull ? 2 : 1) + prefillMilliseconds + domainPenalty;
            if (cost < bestCost) {
                bestCost = cost;
                const expectedMilliseconds = waiting + prefillMilliseconds;
                const load = requests / upstream.slots;
                const times = { expectedMilliseconds, prefillMilliseconds, uncachedTokens };
                best = { upstream, reason: "least-wait", load, ...times };
            }
        }
        return best;
    }

    #findWithFreeCapacity(candidates: readonly RegisteredUpstream[], now: number): RegisteredUpstream | undefined {
        const leastLoaded = this.#findLeastLoaded(candidates, now);
        return leastLoaded !== undefined && this.#getLoad(leastLoaded, now) < fullLoadShare ? leastLoaded : undefined;
    }

    #findLeastLoaded(candidates: readonly RegisteredUpstream[], now: number): RegisteredUpstream | undefined {
        let best: RegisteredUpstream | undefined;
        let bestLoad = Number.POSITIVE_INFINITY;
        for (const upstream of candidates) {
            // A tie is broken at random, or every node would send its first request to the same upstream.
            const load = this.#getLoad(upstream, now) + this.#random.next() * 0.01;
            if (load < bestLoad) {
                best = upstream;
                bestLoad = load;
            }
        }
        return best;
    }
}

/** Leaves some upstreams out; returns the same list where there are none, since what is worked out for a list is kept. */
function exclude(
    upstreams: readonly RegisteredUpstream[],
    isExcluded: (upstream: RegisteredUpstream) => boolean,
): readonly RegisteredUpstream[] {
    return upstreams.some(isExcluded) ? upstreams.filter(upstream => !isExcluded(upstream)) : upstreams;
}
