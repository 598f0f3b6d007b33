/**
 * Selection of an upstream for a request, among the registered ones.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { RegisteredUpstream } from "../../fleet/index.js";
import { exclude } from "./exclude.js";
import { ExpectedWaits } from "./expectedWaits.js";
import type { Paces } from "./paces.js";
import type { PromptDescription, UpstreamPick, UpstreamPickOptions } from "./pick.js";
import { PrefillRate } from "./prefillRate.js";
import { PromptHolders } from "./promptHolders.js";
import { RunnerSubsets } from "./runnerSubsets.js";
import type { RateShares } from "./statedRateLimit.js";
import { UpstreamLoads } from "./upstreamLoads.js";
import type { CallOutcome, ReportedRequests } from "./upstreamStatus.js";
import { WaitRatio } from "./waitRatio.js";

/** Maximum share of a pool that is ejected. If more of it fails, the cause is unlikely to be in single upstreams. */
const maxEjectedShare = 0.34;
/** Load at which plain services in the node's own failure domain count as full, as a share of their slots. */
const fullLoadShare = 0.9;
/** Delay of a response head that each other request at the runner adds, in milliseconds. */
const delayMillisecondsPerRequest = 15;
/**
 * Cost of sending a request to another failure domain, in milliseconds: a fixed part for the network, and a part for each kilobyte,
 * since traffic between failure domains is billed.
 */
const crossDomainMilliseconds = 60;
const crossDomainMillisecondsPerKilobyte = 4;
/** Probabilities that the first and the second holder of a key have the shared parts of the prompt in their cache. */
const cacheHitProbabilities = [0.9, 0.4] as const;
/**
 * Maximum relative noise that is added to loads. Many nodes read the same reports; without noise, all of them would send their next
 * request to the runner with the lowest reported load.
 */
const loadNoise = 0.25;
/** Share of the short prompts that go to the candidate that was heard of least recently, if that was too long ago. */
const probeShare = 0.02;
/** The same for a candidate that this node has never tried, such as an empty one that has joined. */
const firstProbeShare = 0.1;
/** Time since the last sign of an upstream from which it is probed, in milliseconds: one that recovered is to be noticed within it. */
const probeAgeMilliseconds = 3_000;

/** Selects upstreams for one node and records their state. */
export class UpstreamPicker {
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #failureDomain: string;
    readonly #subsets: RunnerSubsets;
    readonly #holders = new PromptHolders();
    readonly #onEject: (upstream: string, milliseconds: number) => void;
    readonly #isAdmitted: (upstream: RegisteredUpstream) => boolean;
    readonly #rateShares: RateShares | undefined;
    readonly #loads: UpstreamLoads;
    readonly #prefillRates = new PrefillRate();
    readonly #expectedWaits: ExpectedWaits;
    readonly #waitRatio = new WaitRatio();

    constructor(options: {
        readonly clock: Clock;
        /** Identifier of this node. */
        readonly self: string;
        /** Failure domain of this node. */
        readonly failureDomain: string;
        readonly random: RandomSource;
        readonly onEject: (upstream: string, milliseconds: number) => void;
        /** Returns whether an upstream may get a request from this node now. Without it, every upstream may. */
        readonly isAdmitted?: (upstream: RegisteredUpstream) => boolean;
        /** The node's shares of the rates that upstreams state. Without it, none states any. */
        readonly rateShares?: RateShares;
        /** Knows how long upstreams take for the same work. Without it, all take the same time. */
        readonly paces?: Paces;
    }) {
        this.#clock = options.clock;
        this.#random = options.random;
        this.#failureDomain = options.failureDomain;
        this.#subsets = new RunnerSubsets(options);
        this.#onEject = options.onEject;
        this.#isAdmitted = options.isAdmitted ?? (() => true);
        this.#rateShares = options.rateShares;
        this.#loads = new UpstreamLoads(options.paces);
        this.#expectedWaits = new ExpectedWaits(options.failureDomain);
    }

    /**
     * Selects an upstream.
     * @returns The selected upstream, or undefined when no candidate is left.
     */
    pick(options: UpstreamPickOptions): UpstreamPick | undefined {
        const now = this.#clock.monotonic();
        const untried = exclude(
            options.candidates,
            upstream => options.excluded.has(upstream.id) || !this.#isAdmitted(upstream),
        );
        const unejected = exclude(untried, ({ id }) => this.#loads.getStatus(id).isEjected(now));
        const healthy = this.#findDue(unejected) ?? unejected;
        if (healthy.length === 0) {
            // An attempt on an ejected upstream may succeed; without it the request would certainly be refused.
            return this.#createPick(this.#findLeastLoaded(untried, now), "ejected", now);
        }
        // Without a prompt there is no prefill to expect, so that the expected times are equal whatever the loads are.
        if (options.prompt !== undefined && options.prompt.tokens > 0) {
            return this.#findLeastWait(options, healthy, options.prompt, now);
        }
        const sameDomain = healthy.filter(upstream => upstream.failureDomain === this.#failureDomain);
        const upstream = this.#findWithFreeCapacity(sameDomain, now) ?? this.#findLeastLoaded(healthy, now);
        return this.#createPick(upstream, "least-loaded", now);
    }

    /**
     * Changes the time that an upstream needs to prefill the pending prompts of this node.
     * @param upstream - Identifier of the upstream.
     * @param milliseconds - Expected prefill time of the prompt; negative when its prefill has ended.
     */
    addPendingPrefill(upstream: string, milliseconds: number): void {
        this.#loads.find(upstream)?.addPendingPrefill(milliseconds);
    }

    /**
     * Records that data was received from an upstream.
     * @param upstream - Identifier of the upstream.
     */
    markSeen(upstream: string): void {
        this.#loads.find(upstream)?.markSeen(this.#clock.monotonic());
    }

    /**
     * Records the measured time to the response head of a prompt.
     * @param model - The model that answered.
     * @param milliseconds - Time to the response head.
     * @param pick - The pick, with the expected times.
     */
    addHeadTime(model: string | undefined, milliseconds: number, pick: UpstreamPick): void {
        const { expectedMilliseconds, prefillMilliseconds, slowness, uncachedTokens, upstream: { pool } } = pick;
        if (uncachedTokens === 0) {
            return;
        }
        this.#prefillRates.add({
            model,
            tokens: uncachedTokens,
            headMilliseconds: milliseconds / slowness,
            waitingMilliseconds: (expectedMilliseconds - prefillMilliseconds) / slowness,
        });
        this.#expectedWaits.addWork(pool, this.#prefillRates.getPrefillMilliseconds(model, uncachedTokens));
        this.#waitRatio.add(milliseconds, expectedMilliseconds);
    }

    /** Returns the average ratio of measured to expected times to the response head, at least 1. */
    getWaitRatio(): number {
        return Math.max(1, this.#waitRatio.get());
    }

    /**
     * Records the start of a call.
     * @param upstream - Identifier of the upstream.
     */
    start(upstream: string): void {
        this.#loads.getStatus(upstream).start(this.#clock.monotonic());
    }

    /**
     * Records the load that an upstream reported with an answer. One that is not finite is ignored.
     * @param upstream - The upstream.
     * @param load - The reported load.
     */
    addLoadReport(upstream: RegisteredUpstream, load: ReportedRequests): void {
        const { requests, slots, slowdown = 1 } = load;
        if (![requests, load.waiting ?? 0, requests / slots, slowdown].every(Number.isFinite)) {
            return;
        }
        const now = this.#clock.monotonic();
        const status = this.#loads.getStatus(upstream.id);
        const others = status.addLoadReport(load, now);
        this.#loads.addReported(upstream.pool, others, load.slots);
        const waiting = status.getReportedWaiting();
        if (waiting !== undefined) {
            this.#expectedWaits.addReport(upstream, waiting, this.#loads.getPace(upstream.id), now);
        }
    }

    /**
     * Records the end of a call and ejects the upstream if it has become an outlier. The end of a call to a removed one is ignored.
     * @param upstream - The upstream.
     * @param outcome - Outcome of the call.
     * @param pool - All upstreams of the pool.
     */
    finish(upstream: RegisteredUpstream, outcome: CallOutcome, pool: readonly RegisteredUpstream[]): void {
        const status = this.#loads.find(upstream.id);
        const now = this.#clock.monotonic();
        status?.finish(outcome, now);
        if (
            status === undefined || outcome === "ok" || status.isEjected(now)
            || !status.isOutlier(this.#loads.getFailureRate(pool, upstream))
        ) {
            return;
        }
        const ejected = pool.filter(other => this.#loads.getStatus(other.id).isEjected(now)).length;
        if ((ejected + 1) / Math.max(1, pool.length) <= maxEjectedShare) {
            this.#onEject(upstream.id, status.eject(now));
        }
    }

    /**
     * Discards the recorded failures of an upstream and ends its ejection.
     * @param upstream - Identifier of the upstream.
     */
    clearFailures(upstream: string): void {
        this.#loads.find(upstream)?.clearFailures();
    }

    /**
     * Removes the recorded state of an upstream.
     * @param upstream - Identifier of the upstream.
     */
    remove(upstream: string): void {
        this.#loads.remove(upstream);
        this.#subsets.remove(upstream);
        this.#holders.remove(upstream);
    }

    #createPick(
        upstream: RegisteredUpstream | undefined,
        reason: UpstreamPick["reason"],
        now: number,
    ): UpstreamPick | undefined {
        return upstream && {
            upstream,
            reason,
            load: this.#loads.getLoad(upstream, now),
            expectedMilliseconds: 0,
            prefillMilliseconds: 0,
            slowness: this.#loads.getSlowness(upstream.id, now),
            uncachedTokens: 0,
        };
    }

    /**
     * Selects the runner with the lowest cost: queueing time, prefill time of the tokens that are probably not cached, and the cost of
     * another failure domain. Queueing time counts twice at a runner without a free slot.
     */
    #findLeastWait(
        { pool, candidates, mayProbe = false }: UpstreamPickOptions,
        usable: readonly RegisteredUpstream[],
        prompt: PromptDescription,
        now: number,
    ): UpstreamPick | undefined {
        const holders = this.#holders.findTwoHolders(usable, prompt.sharedKey);
        const drawn = this.#expectedWaits.isKnown(pool) ? this.#random.next() : undefined;
        const selected = this.#subsets.selectCandidates(candidates, holders, usable, drawn);
        const domainCost = crossDomainMilliseconds + crossDomainMillisecondsPerKilobyte * prompt.bytes / 1_024;
        let best: UpstreamPick | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const upstream of selected) {
            const hitProbability = cacheHitProbabilities[holders.indexOf(upstream.id)] ?? 0;
            const pick = this.#createPromptPick(upstream, prompt, hitProbability, now);
            const { expectedMilliseconds, prefillMilliseconds, load } = pick;
            const waiting = expectedMilliseconds - prefillMilliseconds;
            const placeCost = upstream.failureDomain === this.#failureDomain
                ? this.#expectedWaits.drawSpread(pool, this.#loads.getStatus(upstream.id), now, this.#random)
                : domainCost;
            const cost = waiting * (load >= 1 ? 2 : 1) + prefillMilliseconds + placeCost;
            if (cost < bestCost) {
                bestCost = cost;
                best = pick;
            }
        }
        const probed = drawn === undefined || !mayProbe ? undefined : this.#findProbed(selected, prompt, pool, now);
        const probe = probed && this.#createPromptPick(probed, prompt, 0, now);
        return probe !== undefined && probe.load < 1 ? { ...probe, reason: "probe" } : best;
    }

    #createPromptPick(
        upstream: RegisteredUpstream,
        prompt: PromptDescription,
        hitProbability: number,
        now: number,
    ): UpstreamPick {
        const status = this.#loads.getStatus(upstream.id);
        const slowness = this.#loads.getSlowness(upstream.id, now);
        const uncachedTokens = prompt.tokens - hitProbability * prompt.sharedTokens;
        const prefillMilliseconds = slowness
            * this.#prefillRates.getPrefillMilliseconds(prompt.model, uncachedTokens);
        const noise = 1 + loadNoise * (2 * this.#random.next() - 1);
        const requests = this.#loads.getExpectedRequests(upstream, now) * noise;
        const load = requests / upstream.slots;
        const pace = this.#loads.getPace(upstream.id);
        // A full batch makes each step about twice as long.
        const delay = this.#expectedWaits.isKnown(upstream.pool)
            ? noise * slowness * this.#expectedWaits.getOthersMilliseconds(upstream, status, pace, now)
                + load * prefillMilliseconds
            : requests * delayMillisecondsPerRequest;
        const expectedMilliseconds = delay + status.getPendingPrefillMilliseconds() + prefillMilliseconds;
        return {
            upstream,
            reason: "least-wait",
            load,
            expectedMilliseconds,
            prefillMilliseconds,
            slowness,
            uncachedTokens,
        };
    }

    /**
     * Selects an upstream that looked bad when it was last heard of, for a short prompt. Without it, one that nobody chooses would
     * never be seen to have recovered. One at which this node has a request in flight is being tried already.
     */
    #findProbed(
        candidates: readonly RegisteredUpstream[],
        prompt: PromptDescription,
        pool: string,
        now: number,
    ): RegisteredUpstream | undefined {
        const work = this.#prefillRates.getPrefillMilliseconds(prompt.model, prompt.tokens);
        const drawn = this.#random.next();
        if (work > this.#expectedWaits.getMeanWork(pool) || drawn >= firstProbeShare) {
            return undefined;
        }
        let oldest: RegisteredUpstream | undefined;
        let oldestAge = drawn < probeShare ? probeAgeMilliseconds : Number.MAX_VALUE;
        for (const upstream of candidates) {
            const status = this.#loads.getStatus(upstream.id);
            const age = status.getTrialAge(now);
            if (age > oldestAge && status.getInFlight() === 0 && upstream.failureDomain === this.#failureDomain) {
                oldest = upstream;
                oldestAge = age;
            }
        }
        return oldest;
    }

    /** Finds an upstream that states a rate limit and should get the next request, also if it is not in the subset of this node. */
    #findDue(upstreams: readonly RegisteredUpstream[]): readonly RegisteredUpstream[] | undefined {
        const shares = this.#rateShares;
        if (shares === undefined || shares.getLimited().size === 0) {
            return undefined;
        }
        const due = upstreams.find(upstream => shares.isDue(upstream));
        return due && [due];
    }

    #findWithFreeCapacity(candidates: readonly RegisteredUpstream[], now: number): RegisteredUpstream | undefined {
        const leastLoaded = this.#findLeastLoaded(candidates, now);
        return leastLoaded !== undefined && this.#loads.getSlowedLoad(leastLoaded, now) < fullLoadShare
            ? leastLoaded
            : undefined;
    }

    #findLeastLoaded(candidates: readonly RegisteredUpstream[], now: number): RegisteredUpstream | undefined {
        let best: RegisteredUpstream | undefined;
        let bestLoad = Number.POSITIVE_INFINITY;
        for (const upstream of candidates) {
            // Ties are broken at random; otherwise every node would send its first request to the same upstream.
            const load = this.#loads.getSlowedLoad(upstream, now) + this.#random.next() * 0.01;
            if (load < bestLoad) {
                best = upstream;
                bestLoad = load;
            }
        }
        return best;
    }
}
