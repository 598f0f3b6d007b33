/**
 * Comparison of a few runners for one request. One object is reused for all requests, so that a selection allocates no memory that
 * grows with the number of runners.
 */
import type { RandomSource } from "../../common/index.js";
import type { Vm } from "../../world/index.js";
import type { PlacementOptions } from "./options.js";
import type { Placement, PlacementReason, PlacementRequest } from "./placement.js";
import type { PrefixMatch } from "./prefixTable.js";
import type { Runner } from "./runner.js";

/** Maximum number of random draws per desired runner, since drawn runners may be ineligible. */
const drawsPerChoice = 4;

/** Compares runners for one request and tracks the best one. */
export class CandidateSet {
    readonly #random: RandomSource;
    readonly #options: PlacementOptions;
    readonly #isAdmitted: (upstream: Vm) => boolean;
    #now = 0;
    #request: PlacementRequest | undefined;
    #matches: readonly PrefixMatch[] = [];
    #best: Runner | undefined;
    #bestWait = Number.POSITIVE_INFINITY;
    #bestReason: PlacementReason = "least-wait";

    constructor(options: {
        readonly random: RandomSource;
        readonly options: PlacementOptions;
        /** Returns whether an upstream may get a request from this entry now. */
        readonly isAdmitted: (upstream: Vm) => boolean;
    }) {
        this.#random = options.random;
        this.#options = options.options;
        this.#isAdmitted = options.isAdmitted;
    }

    /** Resets the set for a new request. */
    start(now: number, request: PlacementRequest, matches: readonly PrefixMatch[]): void {
        this.#now = now;
        this.#request = request;
        this.#matches = matches;
        this.#best = undefined;
        this.#bestWait = Number.POSITIVE_INFINITY;
    }

    /** Returns whether no eligible runner was added. */
    isEmpty(): boolean {
        return this.#best === undefined;
    }

    /** Returns the lowest expected wait of the runners added so far. */
    getBestWait(): number {
        return this.#bestWait;
    }

    /** Adds one runner if it is eligible and serves the request. */
    addOne(runner: Runner, reason: PlacementReason): void {
        if (this.#isEligible(runner) && this.#serves(runner)) {
            this.#compare(runner, reason);
        }
    }

    /** Adds a few randomly drawn runners, or all of a short list. */
    addSample(runners: readonly Runner[], reason: PlacementReason): void {
        if (runners.length <= this.#options.choices) {
            this.#addAll(runners, reason);
            return;
        }
        let found = 0;
        for (let draw = 0; draw < this.#options.choices * drawsPerChoice; draw += 1) {
            const runner = runners[this.#random.nextInteger(runners.length)];
            if (this.#isEligible(runner) && this.#passesRamp(runner)) {
                this.#compare(runner, reason);
                found += 1;
            }
            if (found >= this.#options.choices) {
                return;
            }
        }
    }

    /** Starts at a random index, since the first of several equal runners wins and must not be the same one each time. */
    #addAll(runners: readonly Runner[], reason: PlacementReason): void {
        const start = runners.length === 0 ? 0 : this.#random.nextInteger(runners.length);
        for (let step = 0; step < runners.length; step += 1) {
            const runner = runners[(start + step) % runners.length];
            if (this.#isEligible(runner) && this.#passesRamp(runner)) {
                this.#compare(runner, reason);
            }
        }
    }

    /** Adds a few runners, including ejected ones. */
    addIncludingEjected(runners: readonly Runner[]): void {
        const start = runners.length === 0 ? 0 : this.#random.nextInteger(runners.length);
        let found = 0;
        for (let step = 0; step < runners.length && found < this.#options.choices; step += 1) {
            const runner = runners[(start + step) % runners.length];
            if (this.#request?.excluded.has(runner.vm.id) === false && this.#isAdmitted(runner.vm)) {
                this.#compare(runner, "panic");
                found += 1;
            }
        }
    }

    /** Returns the runner with the lowest expected wait. */
    getBest(): Placement | undefined {
        if (this.#best === undefined || this.#request === undefined) {
            return undefined;
        }
        return {
            upstream: this.#best.vm,
            expectedWaitMilliseconds: this.#bestWait,
            cachedBlocks: this.#getCachedBlocks(this.#best),
            reason: this.#bestReason,
            blocks: this.#request.blocks,
        };
    }

    #isEligible(runner: Runner): boolean {
        return !runner.isLeaving && !runner.health.isEjected(this.#now)
            && this.#request?.excluded.has(runner.vm.id) === false && this.#isAdmitted(runner.vm);
    }

    #serves(runner: Runner): boolean {
        const { version, pool } = this.#request ?? {};
        return (version === undefined || runner.versions?.includes(version) === true)
            && (pool === undefined || runner.vm.pool === pool);
    }

    /**
     * Returns whether a runner may be compared. A returning runner is excluded at random, less and less often as its ramp rises, so that
     * its cache and threads warm up.
     */
    #passesRamp(runner: Runner): boolean {
        const ramp = runner.health.getRamp(this.#now);
        return ramp >= 1 || this.#random.next() < ramp;
    }

    #compare(runner: Runner, reason: PlacementReason): void {
        const blocks = this.#request?.blocks.length ?? 0;
        const wait = runner.getExpectedWait(this.#now, blocks - this.#getCachedBlocks(runner));
        if (wait < this.#bestWait) {
            this.#best = runner;
            this.#bestWait = wait;
            this.#bestReason = reason;
        }
    }

    #getCachedBlocks(runner: Runner): number {
        for (const match of this.#matches) {
            if (match.upstream === runner.vm.id) {
                return Math.floor(match.blocks * match.confidence);
            }
        }
        return 0;
    }
}
