/**
 * Selection of a runner for a request: the lowest expected time to first token among a few random runners of the entry's subset and
 * the runners that probably have the prompt's prefix in their cache.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock, Failure, RandomSource } from "../../common/index.js";
import { events, type Journal } from "../../events/index.js";
import type { LoadReport, Vm, VmRole } from "../../world/index.js";
import type { RestLimit } from "../dispatch/restLimit.js";
import type { StatedRateLimit } from "../dispatch/statedRateLimit.js";
import { CandidateSet } from "./candidateSet.js";
import { getCapacity } from "./capacity.js";
import { getEjectedShareWith } from "./ejection.js";
import { createOverloaded, createUnavailable } from "./failures.js";
import { defaultPlacementOptions, type PlacementOptions } from "./options.js";
import type { CacheEvent, EntryLocation, Placement, PlacementReason, PlacementRequest } from "./placement.js";
import { PrefixTable } from "./prefixTable.js";
import type { Runner } from "./runner.js";
import { RunnerFactory } from "./runnerFactory.js";
import { RunnerIndex } from "./runnerIndex.js";
import { RunnerWorks } from "./runnerWorks.js";
import { Work } from "./work.js";

/** Base of the retry time of a refused request. The excess over its deadline is added, and jitter of up to 25 % in both directions. */
const baseRetryMilliseconds = 1_000;
const maxUnlistedLeaving = 1_000;

/** Selects runners for one entry and tracks their state. */
export class RunnerChooser {
    readonly #self: EntryLocation;
    readonly #clock: Clock;
    readonly #random: RandomSource;
    readonly #options: PlacementOptions;
    readonly #journal: Journal | undefined;
    readonly #runners = new Map<string, Runner>();
    readonly #factory: RunnerFactory;
    readonly #works: RunnerWorks;
    readonly #index: RunnerIndex;
    readonly #prefixes: PrefixTable;
    readonly #candidates: CandidateSet;
    readonly #rateShares: StatedRateLimit | undefined;
    readonly #restLimit: RestLimit<Vm> | undefined;
    /** Identifiers of upstreams that leave and are not listed yet, the newest at the end. */
    readonly #unlistedLeaving = new Set<string>();

    constructor(options: {
        readonly self: EntryLocation;
        readonly clock: Clock;
        readonly random: RandomSource;
        readonly options?: Partial<PlacementOptions>;
        readonly journal?: Journal;
        /** The entry's shares of the rates that upstreams state. Without it, none states any. */
        readonly rateShares?: StatedRateLimit;
        /** Keeps requests from upstreams that have asked this entry for rest. Without it, none has. */
        readonly restLimit?: RestLimit<Vm>;
    }) {
        this.#self = options.self;
        this.#clock = options.clock;
        this.#random = options.random;
        this.#options = { ...defaultPlacementOptions, ...options.options };
        this.#journal = options.journal;
        this.#index = new RunnerIndex(options.self.failureDomain, this.#options);
        this.#prefixes = new PrefixTable(this.#options.maxPrefixBlocks);
        this.#factory = new RunnerFactory(options.self, this.#options);
        this.#works = new RunnerWorks({
            clock: options.clock,
            options: this.#options,
            prefixes: this.#prefixes,
            eject: (id, reason) => this.eject(id, reason),
        });
        this.#rateShares = options.rateShares;
        this.#restLimit = options.restLimit;
        this.#candidates = new CandidateSet({
            random: options.random,
            options: this.#options,
            isAdmitted: upstream =>
                (this.#rateShares?.isAdmitted(upstream) ?? true) && (this.#restLimit?.isAdmitted(upstream) ?? true),
        });
    }

    /**
     * Applies the VM list. Runners that stay keep their recorded state; those that are leaving or no longer listed get no new
     * requests.
     * @param vms - All VMs. The entries among them are counted, since they share the runners.
     */
    setUpstreams(vms: readonly Vm[]): void {
        const listed = new Set<string>();
        let entries = 0;
        for (const vm of vms) {
            if (vm.role === "entry") {
                entries += vm.region === this.#self.region ? 1 : 0;
                continue;
            }
            listed.add(vm.id);
            this.#setUpstream(vm);
        }
        for (const [id, runner] of this.#runners) {
            if (!listed.has(id)) {
                this.#runners.delete(id);
                this.#index.remove(runner);
                this.#prefixes.removeUpstream(id);
                this.#rateShares?.remove(id);
                this.#restLimit?.remove(id);
            }
        }
        this.#index.setEntries(entries);
    }

    /** Returns the upstreams that this entry sends requests to, and whose load it has to track. */
    getSubset(): readonly Vm[] {
        return Array.from(this.#index.getSubset(), runner => runner.vm);
    }

    /**
     * Returns when an upstream last reported its load with an answer, in monotonic milliseconds.
     * @param id - Identifier of the upstream.
     */
    getAnsweredAt(id: string): number | undefined {
        return this.#runners.get(id)?.load.getAnsweredAt();
    }

    /**
     * Returns this entry's share of the region's capacity, in concurrent requests. Upstreams outside the subset are assumed to be like
     * those in it: the capacity of the subset alone, divided by the number of entries, would be far too low.
     * @param entries - Number of entries that share the region's upstreams.
     * @param role - Engines or plain services. They are counted separately, since neither can serve the other's requests.
     */
    getOwnCapacity(entries: number, role: VmRole): number {
        return getCapacity(this.#runners.values(), role) / Math.max(1, entries);
    }

    /** Returns the number of runners that accept requests and have a version loaded. */
    countRunners(version: string): number {
        return this.#index.get(version, undefined).all.length;
    }

    /**
     * Sets the versions that an upstream has loaded, also when they are known without a load report.
     * @param upstream - Identifier of the upstream.
     * @param versions - Identifiers of its versions.
     */
    setVersions(upstream: string, versions: readonly string[]): void {
        const runner = this.#runners.get(upstream);
        if (runner === undefined || areVersionsEqual(runner.versions, versions)) {
            return;
        }
        this.#index.remove(runner);
        runner.versions = versions;
        if (!runner.isLeaving) {
            this.#index.add(runner);
        }
    }

    /**
     * Returns the versions that an upstream reports, and whether it reports to check fencing tokens of orders.
     * @param upstream - Identifier of the upstream.
     */
    getReportedState(upstream: string): { readonly versions?: readonly string[]; readonly checksFencing?: boolean; } {
        const runner = this.#runners.get(upstream);
        return { versions: runner?.versions, checksFencing: runner?.checksFencing };
    }

    /** Adds a load report, which may be late or out of order. */
    addLoadReport(report: LoadReport): void {
        const runner = this.#runners.get(report.upstream);
        if (runner === undefined) {
            return;
        }
        if (report.leaving) {
            this.markLeaving(report.upstream);
        }
        if (!runner.load.addReport(report, this.#clock.monotonic())) {
            return;
        }
        this.setVersions(report.upstream, report.versions);
        runner.checksFencing = report.checksFencing;
        runner.poolStatistics.addOtherRequests(runner.load.getOtherRequestsAtMeasurement(), runner.load.getCapacity());
    }

    /**
     * Adds changes of an upstream's prefix cache.
     * @param upstream - Identifier of the upstream.
     * @param cacheEvents - The changes, in order.
     * @param hasGap - Whether events before these were lost.
     */
    addCacheEvents(upstream: string, cacheEvents: readonly CacheEvent[], hasGap: boolean): void {
        if (!this.#runners.has(upstream)) {
            return;
        }
        if (hasGap) {
            this.#prefixes.addGap(upstream);
        }
        for (const event of cacheEvents) {
            this.#prefixes.apply(upstream, event);
        }
    }

    /** Excludes an upstream from new requests until the VM list no longer contains it. */
    markLeaving(id: string): void {
        const runner = this.#runners.get(id);
        if (runner === undefined) {
            this.#addUnlistedLeaving(id);
            return;
        }
        if (runner.isLeaving) {
            return;
        }
        runner.isLeaving = true;
        this.#index.remove(runner);
    }

    /**
     * Ejects an upstream for a while, unless too many of its pool are already ejected.
     * @param id - Identifier of the upstream.
     * @param reason - Reason for the event.
     * @returns Whether the upstream was ejected.
     */
    eject(id: string, reason: string): boolean {
        const runner = this.#runners.get(id);
        const now = this.#clock.monotonic();
        if (runner === undefined || runner.health.isEjected(now)) {
            return false;
        }
        const ejectedShare = getEjectedShareWith(runner, this.#runners.values(), now);
        if (ejectedShare > this.#options.maxEjectedShare) {
            return false;
        }
        const milliseconds = Math.round(runner.health.eject(now, this.#random.next()));
        this.#journal?.write(events.upstreamEjected, { upstream: id, reason, milliseconds });
        return true;
    }

    /**
     * Selects a runner.
     * @returns The runner, or the failure `unavailable` when none has the version, or `overloaded` when none can return the first token
     * before the deadline.
     */
    choose(request: PlacementRequest): Result<Placement, Failure> {
        const now = this.#clock.monotonic();
        const list = this.#index.get(request.version, request.pool);
        const matches = this.#prefixes.getMatches(request.blocks, this.#options.cachedChoices);
        this.#candidates.start(now, request, matches);
        this.#addDue();
        if (this.#candidates.isEmpty()) {
            this.#addPreferred(request, matches);
            this.#candidates.addSample(list.near, "least-wait");
        }
        if (this.#candidates.getBestWait() > this.#options.spillOverMilliseconds) {
            this.#candidates.addSample(list.far, "spill-over");
        }
        if (this.#candidates.isEmpty()) {
            // If the subset has no eligible runner, any runner is used, even an ejected one: an attempt may succeed, while a refusal
            // is certainly a failure.
            this.#candidates.addIncludingEjected(list.all);
        }
        const placement = this.#candidates.getBest();
        if (placement === undefined) {
            return err(createUnavailable(request, this.#getRetryAfter(this.#getRestWait(list.all))));
        }
        const excess = placement.expectedWaitMilliseconds - request.deadlineMilliseconds;
        if (excess > 0) {
            return err(createOverloaded(placement, this.#getRetryAfter(excess)));
        }
        return ok(placement);
    }

    /**
     * Records the start of a request on the selected runner.
     * @param placement - The result of `choose`.
     */
    start(placement: Placement): Work {
        const runner = this.#runners.get(placement.upstream.id);
        this.#rateShares?.add(placement.upstream);
        this.#restLimit?.add(placement.upstream);
        return runner === undefined
            ? new Work({ firstToken: () => {}, load: () => {}, finish: () => {} })
            : this.#works.start(runner, placement);
    }

    #setUpstream(vm: Vm): void {
        const known = this.#runners.get(vm.id);
        if (known !== undefined) {
            known.vm = vm;
            if (vm.state === "leaving") {
                this.markLeaving(vm.id);
            }
            return;
        }
        const runner = this.#factory.create(vm);
        runner.isLeaving = vm.state === "leaving" || this.#unlistedLeaving.delete(vm.id);
        this.#runners.set(vm.id, runner);
        if (!runner.isLeaving) {
            this.#index.add(runner);
        }
    }

    #addCandidate(upstream: string | undefined, reason: PlacementReason): void {
        const runner = upstream === undefined ? undefined : this.#runners.get(upstream);
        if (runner !== undefined) {
            this.#candidates.addOne(runner, reason);
        }
    }

    #addPreferred(request: PlacementRequest, matches: readonly { readonly upstream: string; }[]): void {
        this.#addCandidate(request.preferred, "session");
        for (const { upstream } of matches) {
            this.#addCandidate(upstream, "cached-prefix");
        }
    }

    /** Adds the upstreams that state a rate limit and should get the next request, also those outside the subset of this entry. */
    #addDue(): void {
        const shares = this.#rateShares;
        for (const id of shares?.getLimited() ?? []) {
            const vm = this.#runners.get(id)?.vm;
            if (vm !== undefined && shares?.isDue(vm) === true) {
                this.#addCandidate(id, "least-wait");
            }
        }
    }

    /** Returns the time until the first of some upstreams takes requests again, in milliseconds. */
    #getRestWait(runners: readonly Runner[]): number {
        const waits = runners.map(({ vm }) => this.#restLimit?.getWait(vm) ?? 0);
        return waits.length === 0 ? 0 : Math.min(...waits);
    }

    /** The list of VMs may lag behind what other entries have been told by an upstream that is new. */
    #addUnlistedLeaving(id: string): void {
        this.#unlistedLeaving.delete(id);
        this.#unlistedLeaving.add(id);
        for (const oldest of this.#unlistedLeaving) {
            if (this.#unlistedLeaving.size <= maxUnlistedLeaving) {
                return;
            }
            this.#unlistedLeaving.delete(oldest);
        }
    }

    #getRetryAfter(excessMilliseconds: number): number {
        return Math.round((baseRetryMilliseconds + excessMilliseconds) * (0.75 + this.#random.next() / 2));
    }
}

function areVersionsEqual(known: readonly string[] | undefined, versions: readonly string[]): boolean {
    return known !== undefined && known.length === versions.length
        && versions.every((version, index) => version === known[index]);
}
