/**
 * One seeded run of entries that let requests of several workspaces in or refuse them, for the measurement `limits`.
 */
import { RandomSource } from "../common/index.js";
import { type LimitOptions, type Release, RetryBudget } from "../decisions/limits/index.js";
import type { Vm } from "../world/index.js";
import { type Admission, type AdmissionName, createAdmission } from "./admissionPolicies.js";
import { EventQueue } from "./eventQueue.js";
import { LimitsRecord } from "./limitsRecord.js";
import { createPolicy, type Policy } from "./placementPolicies.js";
import { getFullHold, SimulatedRunner } from "./simulatedRunner.js";
import { getRange } from "./statistics.js";

const entries = 8;
const runners = 13;
const runnerCapacity = 8;
const meanOutputTokens = 60;
const deadlineMilliseconds = 3_000;
const reportEveryMilliseconds = 500;
const mostReturns = 4;
const mostUpstreams = 3;

/** Seconds of a run, from its start. */
export const limitsTimes = { measureFrom: 20, brownOutFrom: 50, brownOutTo: 80, end: 140 };

/** A workspace's callers. */
export interface WorkspaceShape {
    readonly name: string;
    readonly share: number;
    /** First asks, as a part of the capacity. */
    readonly load: number;
    /** Part of its requests of the lowest priority; the others have the usual one. */
    readonly lowPriorityShare: number;
    /** Part of its callers that come back when it suits them, whatever they were told. */
    readonly impatientShare: number;
}

/** What happens in a scenario. */
export interface LimitsScenario {
    readonly name: string;
    readonly workspaces: readonly WorkspaceShape[];
    /** How many times slower all runners are between `brownOutFrom` and `brownOutTo`; 1 for none. */
    readonly brownOut: number;
}

interface Ask {
    readonly workspace: WorkspaceShape;
    readonly caller: string;
    readonly priority: number;
    readonly isImpatient: boolean;
    readonly outputTokens: number;
    readonly firstAskedAt: number;
    returns: number;
}

/** Runs one scenario with one way to let requests in. */
export class LimitsTrial {
    readonly #scenario: LimitsScenario;
    readonly #queue = new EventQueue();
    readonly #random: RandomSource;
    readonly #runners: readonly SimulatedRunner[];
    readonly #policies: readonly Policy[];
    readonly #admissions: readonly Admission[];
    readonly #budgets = getRange(entries).map(() => new RetryBudget());
    readonly #record: LimitsRecord;
    readonly #capacityPerSecond: number;
    #asks = 0;

    constructor(options: {
        readonly scenario: LimitsScenario;
        readonly admission: AdmissionName;
        readonly seed: number;
        readonly limits?: Partial<LimitOptions>;
    }) {
        this.#scenario = options.scenario;
        this.#random = new RandomSource(options.seed);
        this.#runners = getRange(runners).map(index => this.#createRunner(index));
        const shared = { runners: this.#runners, clock: this.#queue.clock };
        this.#policies = getRange(entries).map(entry =>
            createPolicy("rattanlock", {
                ...shared,
                entry,
                entries,
                random: new RandomSource(options.seed * 1_000 + entry),
            })
        );
        this.#admissions = getRange(entries).map(entry =>
            createAdmission(options.admission, {
                queue: this.#queue,
                clock: this.#queue.clock,
                random: new RandomSource(options.seed * 1_000 + 500 + entry),
                capacity: runners * runnerCapacity / entries,
                limits: options.limits,
            })
        );
        const hold = getFullHold(this.#runners[0].options, 0, meanOutputTokens);
        this.#capacityPerSecond = 1_000 * runners * runnerCapacity / hold;
        this.#record = new LimitsRecord(this.#capacityPerSecond);
    }

    /** Runs it and returns what was recorded. */
    run(): LimitsRecord {
        this.#scheduleReports();
        for (const workspace of this.#scenario.workspaces) {
            this.#scheduleArrivals(workspace);
        }
        this.#queue.schedule(limitsTimes.brownOutFrom * 1_000, () => this.#setSlowdown(this.#scenario.brownOut));
        this.#queue.schedule(limitsTimes.brownOutTo * 1_000, () => this.#setSlowdown(1));
        this.#queue.runUntil(limitsTimes.end * 1_000 + 5 * deadlineMilliseconds);
        return this.#record;
    }

    #setSlowdown(slowdown: number): void {
        for (const runner of this.#runners) {
            runner.slowdown = slowdown;
        }
    }

    #createRunner(index: number): SimulatedRunner {
        const vm: Vm = {
            id: `runner-${index}`,
            address: "",
            port: 0,
            role: "runner",
            pool: "pool",
            failureDomain: `domain-${index % 4}`,
            region: "region",
            state: "live",
        };
        return new SimulatedRunner({
            vm,
            queue: this.#queue,
            version: "model@1",
            capacity: runnerCapacity,
            slowness: 1,
            isLying: false,
            cacheBlocks: 0,
            tokenReadMilliseconds: 0.1,
            tokenWriteMilliseconds: 20,
        });
    }

    #scheduleReports(): void {
        for (const runner of this.#runners) {
            const report = (): void => {
                const measured = runner.getReport();
                for (const policy of measured === undefined ? [] : this.#policies) {
                    this.#queue.schedule(50 + this.#random.next() * 400, () => policy.addReport(measured!));
                }
                if (this.#queue.now() < limitsTimes.end * 1_000) {
                    this.#queue.schedule(reportEveryMilliseconds, report);
                }
            };
            this.#queue.schedule(this.#random.next() * reportEveryMilliseconds, report);
        }
    }

    #scheduleArrivals(workspace: WorkspaceShape): void {
        const mean = 1_000 / (workspace.load * this.#capacityPerSecond);
        const arrive = (): void => {
            if (this.#queue.now() >= limitsTimes.end * 1_000) {
                return;
            }
            this.#asks += 1;
            const ask: Ask = {
                workspace,
                caller: `caller-${this.#asks}`,
                priority: this.#random.next() < workspace.lowPriorityShare ? 3 : 1,
                isImpatient: this.#random.next() < workspace.impatientShare,
                outputTokens: 1 + Math.floor(this.#random.nextExponential(meanOutputTokens)),
                firstAskedAt: this.#queue.now(),
                returns: 0,
            };
            this.#record.addAsk(ask.workspace.name, this.#queue.now());
            this.#attempt(ask);
            this.#queue.schedule(this.#random.nextExponential(mean), arrive);
        };
        this.#queue.schedule(this.#random.nextExponential(mean), arrive);
    }

    /** The caller picks an entry; a caller that comes back may pick another one, which knows nothing of it. */
    #attempt(ask: Ask): void {
        const since = this.#queue.now();
        const entry = this.#random.nextInteger(entries);
        this.#record.addAttempt(since);
        this.#admissions[entry].offer({
            workspace: ask.workspace.name,
            share: ask.workspace.share,
            priority: ask.priority,
            deadlineMilliseconds,
            estimatedTokens: meanOutputTokens + 64,
            caller: ask.caller,
            isRetry: ask.returns > 0,
        }, {
            enter: ticket => this.#serve({ ask, entry, since, ticket, tried: new Set() }),
            refuse: retryAfterMilliseconds => this.#refuse(ask, since, retryAfterMilliseconds),
        });
    }

    #serve(work: {
        readonly ask: Ask;
        readonly entry: number;
        readonly since: number;
        readonly ticket: { readonly priority: number; readonly release: (end: Release) => void; };
        readonly tried: Set<string>;
    }): void {
        const { ask, entry, since, ticket, tried } = work;
        const sent = this.#queue.now();
        const choice = this.#policies[entry].choose({
            blocks: [],
            exclude: tried,
            deadlineMilliseconds: deadlineMilliseconds - (sent - since),
        });
        if (choice === undefined) {
            ticket.release({ outcome: "refused", tokens: 0 });
            this.#refuse(ask, since, undefined);
            return;
        }
        this.#budgets[entry].addRequest();
        const runner = this.#runners[choice.runner];
        let firstAt: number | undefined;
        runner.start({ blocks: [], outputTokens: ask.outputTokens, priority: ticket.priority }, {
            firstToken: header => {
                firstAt = this.#queue.now();
                choice.firstToken(firstAt - sent, header);
            },
            end: outcome => {
                choice.end({ outcome, milliseconds: this.#queue.now() - sent });
                if (outcome === "ok") {
                    const wait = firstAt === undefined ? undefined : firstAt - since;
                    ticket.release({ outcome, firstTokenMilliseconds: wait, tokens: ask.outputTokens + 64 });
                    this.#addAnswer(ask, since, wait ?? Number.POSITIVE_INFINITY);
                    return;
                }
                tried.add(runner.options.vm.id);
                if (tried.size < mostUpstreams && this.#budgets[entry].take()) {
                    this.#serve(work);
                    return;
                }
                ticket.release({ outcome, tokens: 0 });
                this.#refuse(ask, since, undefined);
            },
        });
    }

    #addAnswer(ask: Ask, since: number, wait: number): void {
        this.#record.addAnswer({
            workspace: ask.workspace.name,
            priority: ask.priority,
            askedAt: since,
            firstTokenAt: since + wait,
            sinceFirstAsk: since - ask.firstAskedAt + wait,
            isInTime: wait <= deadlineMilliseconds,
        });
    }

    #refuse(ask: Ask, since: number, retryAfterMilliseconds: number | undefined): void {
        const now = this.#queue.now();
        this.#record.addRefusal({ workspace: ask.workspace.name, priority: ask.priority, at: now, took: now - since });
        if (ask.returns >= mostReturns || now >= limitsTimes.end * 1_000) {
            return;
        }
        ask.returns += 1;
        const backOff = 500 * 2 ** (ask.returns - 1) * (0.75 + this.#random.next() / 2);
        const wait = ask.isImpatient ? 200 + this.#random.next() * 800 : retryAfterMilliseconds ?? backOff;
        this.#queue.schedule(wait, () => this.#attempt(ask));
    }
}
