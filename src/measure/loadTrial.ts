/**
 * One seeded run of entries that choose runners, for the measurement `load`.
 */
import { RandomSource } from "../common/index.js";
import type { PlacementOptions } from "../decisions/placement/index.js";
import type { Vm } from "../world/index.js";
import { EventQueue } from "./eventQueue.js";
import { createPolicy, type Policy, type PolicyName, pollRoundMilliseconds } from "./placementPolicies.js";
import { getFullLoadServiceTime, type RunnerFault, SimulatedRunner } from "./simulatedRunner.js";
import { getQuantile, getRange } from "./statistics.js";
import { type DrawnRequest, Workload } from "./workload.js";

const entries = 8;
const domains = 4;
const warmUpMilliseconds = 15_000;
const measuredMilliseconds = 60_000;
const cacheEventsEveryMilliseconds = 400;
const cacheEventLossShare = 0.1;
const listLagMilliseconds = 5_000;
const maxAttempts = 3;
const deadlineMilliseconds = 8_000;
const meanOutputTokens = 60;
/** Mean number of prompt blocks of a request in the workload; the nominal capacity is computed from it. */
const meanBlocks = 32;
const sessionShare = 0.6;
const defaultSessions = 60;
const defaultCacheBlocks = 1_500;

type CacheEvents = ReturnType<SimulatedRunner["takeCacheEvents"]>;

/** One scenario. */
export interface LoadScenario {
    readonly name: string;
    /** Rate of arrivals, as a share of the nominal capacity. */
    readonly load: number;
    readonly runners?: number;
    /** Concurrent sessions. */
    readonly sessions?: number;
    /** Capacity and slowness of each runner. */
    readonly getRunnerShape?: (index: number) => { readonly capacity: number; readonly slowness: number; };
    readonly misreportingRunner?: number;
    /** Limit on an entry's load polls per second, over all runners. */
    readonly pollsPerSecond?: number;
    /** Capacity of each runner's prefix cache, in blocks. */
    readonly cacheBlocks?: number;
    /** Runners that fail after a third of the measured time. */
    readonly runnerFailure?: { readonly runners: readonly number[]; readonly fault: RunnerFault; };
}

/** Figures of one run. */
export interface LoadFigures {
    readonly firstTokenMedian: number;
    readonly firstToken95: number;
    readonly firstToken99: number;
    readonly betweenTokens95: number;
    /** Answers whose first token arrived before the deadline, as a share of the nominal capacity. */
    readonly goodput: number;
    /** Share of the requests that failed, were refused, or whose first token arrived too late. */
    readonly lost: number;
    readonly cachedShare: number;
}

/** Runs one scenario with one placement policy. */
export class LoadTrial {
    readonly #scenario: LoadScenario;
    readonly #queue = new EventQueue();
    readonly #random: RandomSource;
    /** Separate random source for polls, so that a policy that polls more often still gets the same workload. */
    readonly #pollRandom: RandomSource;
    readonly #runners: readonly SimulatedRunner[];
    readonly #policies: readonly Policy[];
    /** Batches of cache events by runner, in order. */
    readonly #cacheEvents: CacheEvents[][];
    readonly #firstTokens: number[] = [];
    readonly #betweenTokens: number[] = [];
    #requestCount = 0;
    #goodCount = 0;
    #blocks = 0;
    #cachedBlocks = 0;

    constructor(options: {
        readonly scenario: LoadScenario;
        readonly policy: PolicyName;
        readonly seed: number;
        readonly placement?: Partial<PlacementOptions>;
    }) {
        this.#scenario = options.scenario;
        this.#random = new RandomSource(options.seed);
        this.#pollRandom = new RandomSource(options.seed * 1_000 + entries);
        this.#runners = this.#createRunners();
        this.#cacheEvents = this.#runners.map(() => []);
        this.#policies = getRange(entries).map(entry =>
            createPolicy(options.policy, {
                runners: this.#runners,
                entry,
                entries,
                clock: this.#queue.clock,
                random: new RandomSource(options.seed * 1_000 + entry),
                pollsPerSecond: options.scenario.pollsPerSecond,
                placement: options.placement,
            })
        );
    }

    /** Runs the trial and returns its figures. */
    run(): LoadFigures {
        this.#schedulePolls();
        this.#scheduleRunnerFailure();
        const end = warmUpMilliseconds + measuredMilliseconds;
        this.#scheduleArrivals(end);
        this.#queue.runUntil(end + 2 * deadlineMilliseconds);
        const capacity = this.#getCapacityPerMillisecond() * measuredMilliseconds;
        return {
            firstTokenMedian: getQuantile(this.#firstTokens, 0.5),
            firstToken95: getQuantile(this.#firstTokens, 0.95),
            firstToken99: getQuantile(this.#firstTokens, 0.99),
            betweenTokens95: getQuantile(this.#betweenTokens, 0.95),
            goodput: this.#goodCount / capacity,
            lost: 1 - this.#goodCount / this.#requestCount,
            cachedShare: this.#cachedBlocks / Math.max(1, this.#blocks),
        };
    }

    #createRunners(): readonly SimulatedRunner[] {
        const getRunnerShape = this.#scenario.getRunnerShape ?? (() => ({ capacity: 8, slowness: 1 }));
        return getRange(this.#scenario.runners ?? 13).map(index => {
            const vm: Vm = {
                id: `runner-${index}`,
                address: "",
                port: 0,
                role: "runner",
                pool: "pool",
                failureDomain: `domain-${index % domains}`,
                region: "region",
                state: "live",
            };
            return new SimulatedRunner({
                vm,
                queue: this.#queue,
                version: "model@1",
                ...getRunnerShape(index),
                reportsNoLoad: index === this.#scenario.misreportingRunner,
                cacheBlocks: this.#scenario.cacheBlocks ?? defaultCacheBlocks,
                prefillMillisecondsPerToken: 0.1,
                decodeMillisecondsPerToken: 20,
            });
        });
    }

    #getCapacityPerMillisecond(): number {
        let sum = 0;
        for (const runner of this.#runners) {
            sum += runner.options.capacity / getFullLoadServiceTime(runner.options, meanBlocks, meanOutputTokens);
        }
        return sum;
    }

    #scheduleArrivals(end: number): void {
        const workload = new Workload(this.#random, {
            entries,
            sessions: this.#scenario.sessions ?? defaultSessions,
            sessionShare,
            meanOutputTokens,
        });
        const meanIntervalMilliseconds = 1 / (this.#scenario.load * this.#getCapacityPerMillisecond());
        const arrive = (): void => {
            if (this.#queue.now() >= end) {
                return;
            }
            this.#startRequest(workload.draw());
            this.#queue.schedule(this.#random.nextExponential(meanIntervalMilliseconds), arrive);
        };
        arrive();
    }

    #startRequest(request: DrawnRequest): void {
        const isMeasured = this.#queue.now() >= warmUpMilliseconds;
        this.#requestCount += isMeasured ? 1 : 0;
        this.#attempt({ request, arrivedAt: this.#queue.now(), excluded: new Set(), isMeasured });
    }

    #attempt(
        attempt: {
            readonly request: DrawnRequest;
            readonly arrivedAt: number;
            readonly excluded: Set<string>;
            readonly isMeasured: boolean;
        },
    ): void {
        const { request, arrivedAt, excluded, isMeasured } = attempt;
        const sentAt = this.#queue.now();
        const choice = this.#policies[request.entry].choose({
            blocks: request.blocks,
            excluded,
            deadlineMilliseconds: deadlineMilliseconds - (sentAt - arrivedAt),
        });
        if (choice === undefined) {
            return;
        }
        const runner = this.#runners[choice.runner];
        if (isMeasured) {
            this.#blocks += request.blocks.length;
            this.#cachedBlocks += runner.getCachedBlocks(request.blocks);
        }
        let firstTokenAt: number | undefined;
        let isDone = false;
        const end = (outcome: "ok" | "failed" | "refused"): void => {
            if (isDone) {
                return;
            }
            isDone = true;
            cancelTimeout();
            const now = this.#queue.now();
            choice.reportEnd({ outcome, milliseconds: now - sentAt });
            if (outcome === "ok" && firstTokenAt !== undefined) {
                this.#addAnswer({ arrivedAt, firstTokenAt, now, request, isMeasured });
                return;
            }
            excluded.add(runner.options.vm.id);
            if (excluded.size < maxAttempts && firstTokenAt === undefined) {
                this.#attempt(attempt);
            }
        };
        const cancelTimeout = this.#queue.schedule(deadlineMilliseconds, () => {
            if (firstTokenAt === undefined) {
                // Three placeholders reach `maxAttempts`: after a timeout, no other runner is tried.
                excluded.add("").add(" ").add("  ");
                end("failed");
            }
        });
        runner.start({ ...request, priority: 1 }, {
            onFirstToken: header => {
                firstTokenAt = this.#queue.now();
                choice.reportFirstToken(firstTokenAt - sentAt, header);
            },
            onEnd: end,
        });
    }

    #addAnswer(
        answer: {
            readonly arrivedAt: number;
            readonly firstTokenAt: number;
            readonly now: number;
            readonly request: DrawnRequest;
            readonly isMeasured: boolean;
        },
    ): void {
        if (!answer.isMeasured) {
            return;
        }
        const wait = answer.firstTokenAt - answer.arrivedAt;
        this.#firstTokens.push(wait);
        this.#betweenTokens.push((answer.now - answer.firstTokenAt) / answer.request.outputTokens);
        this.#goodCount += wait <= deadlineMilliseconds ? 1 : 0;
    }

    #schedulePolls(): void {
        for (const [index, runner] of this.#runners.entries()) {
            this.#repeat(cacheEventsEveryMilliseconds, () => this.#cacheEvents[index].push(runner.takeCacheEvents()));
        }
        const indexes = new Map(this.#runners.map((runner, index) => [runner.options.vm.id, index]));
        for (const policy of this.#policies) {
            const nextBatches = this.#runners.map(() => 0);
            this.#repeat(pollRoundMilliseconds, () => {
                for (const { id, hasCacheEvents } of policy.takePolls()) {
                    this.#requestLoadReport(policy, indexes.get(id) ?? 0);
                    if (hasCacheEvents) {
                        this.#requestCacheEvents(policy, indexes.get(id) ?? 0, nextBatches);
                    }
                }
            });
        }
    }

    /** Requests a load report. It arrives after 50 to 450 ms, so entries see different states, also out of order. */
    #requestLoadReport(policy: Policy, index: number): void {
        const report = this.#runners[index].getReport();
        if (report !== undefined) {
            this.#queue.schedule(50 + this.#pollRandom.next() * 400, () => policy.addReport(report));
        }
    }

    #requestCacheEvents(policy: Policy, index: number, nextBatches: number[]): void {
        const { id } = this.#runners[index].options.vm;
        const batches = this.#cacheEvents[index].slice(nextBatches[index]);
        nextBatches[index] += batches.length;
        for (const batch of batches) {
            const isLost = this.#pollRandom.next() < cacheEventLossShare;
            this.#queue.schedule(100 + this.#pollRandom.next() * 900, () => {
                policy.addCacheEvents(id, isLost ? [] : batch, isLost);
            });
        }
    }

    #repeat(intervalMilliseconds: number, run: () => void): void {
        const runAndReschedule = (): void => {
            run();
            if (this.#queue.now() < warmUpMilliseconds + measuredMilliseconds) {
                this.#queue.schedule(intervalMilliseconds, runAndReschedule);
            }
        };
        this.#queue.schedule(this.#pollRandom.next() * intervalMilliseconds, runAndReschedule);
    }

    #scheduleRunnerFailure(): void {
        const { runnerFailure } = this.#scenario;
        if (runnerFailure === undefined) {
            return;
        }
        const at = warmUpMilliseconds + measuredMilliseconds / 3;
        this.#queue.schedule(at, () => {
            for (const index of runnerFailure.runners) {
                this.#runners[index].setFault(runnerFailure.fault);
            }
        });
        this.#queue.schedule(at + listLagMilliseconds, () => {
            const vms = this.#runners.map(runner => runner.options.vm);
            for (const index of runnerFailure.runners) {
                vms[index] = { ...vms[index], state: "leaving" };
            }
            for (const policy of this.#policies) {
                policy.setListedVms(vms.filter(vm => vm.state === "live"));
            }
        });
    }
}
