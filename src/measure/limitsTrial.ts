/**
 * One seeded run of entries that admit or refuse requests of several workspaces, for the measurement `limits`.
 */
import { RandomSource } from "../common/index.js";
import { type LimitOptions, type Release, RetryBudget } from "../decisions/limits/index.js";
import type { Vm } from "../world/index.js";
import { type Admission, type AdmissionName, createAdmission } from "./admissionPolicies.js";
import { EventQueue } from "./eventQueue.js";
import { LimitsRecord } from "./limitsRecord.js";
import { limitsTimes } from "./limitsTimes.js";
import { createPolicy, type Policy } from "./placementPolicies.js";
import { getFullLoadServiceTime, SimulatedRunner } from "./simulatedRunner.js";
import { getRange } from "./statistics.js";

const entries = 8;
const runners = 13;
const runnerCapacity = 8;
const meanOutputTokens = 60;
const deadlineMilliseconds = 3_000;
const reportEveryMilliseconds = 500;
const maxRetries = 4;
const maxUpstreams = 3;

/** The load that a workspace's callers generate. */
export interface WorkspaceLoad {
    readonly name: string;
    readonly share: number;
    /** Rate of first attempts, as a share of the capacity. */
    readonly load: number;
    /** Share of its requests with the lowest priority; the others have the default priority. */
    readonly lowPriorityShare: number;
    /** Share of its callers that retry early and ignore the given retry time. */
    readonly earlyRetryShare: number;
}

/** One scenario. */
export interface LimitsScenario {
    readonly name: string;
    readonly workspaces: readonly WorkspaceLoad[];
    /** Factor by which all runners are slower between `brownOutFrom` and `brownOutTo`; 1 for no brown-out. */
    readonly brownOut: number;
}

interface TrialRequest {
    readonly workspace: WorkspaceLoad;
    readonly caller: string;
    readonly priority: number;
    readonly retriesEarly: boolean;
    readonly outputTokens: number;
    readonly firstAttemptAt: number;
    retries: number;
}

/** Runs one scenario with one admission policy. */
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
    #requestCount = 0;

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
        const serviceTimeMilliseconds = getFullLoadServiceTime(this.#runners[0].options, 0, meanOutputTokens);
        this.#capacityPerSecond = 1_000 * runners * runnerCapacity / serviceTimeMilliseconds;
        this.#record = new LimitsRecord(this.#capacityPerSecond);
    }

    /** Runs the trial and returns its record. */
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
            reportsNoLoad: false,
            cacheBlocks: 0,
            prefillMillisecondsPerToken: 0.1,
            decodeMillisecondsPerToken: 20,
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

    #scheduleArrivals(workspace: WorkspaceLoad): void {
        const meanIntervalMilliseconds = 1_000 / (workspace.load * this.#capacityPerSecond);
        const arrive = (): void => {
            if (this.#queue.now() >= limitsTimes.end * 1_000) {
                return;
            }
            this.#requestCount += 1;
            const request: TrialRequest = {
                workspace,
                caller: `caller-${this.#requestCount}`,
                priority: this.#random.next() < workspace.lowPriorityShare ? 3 : 1,
                retriesEarly: this.#random.next() < workspace.earlyRetryShare,
                outputTokens: 1 + Math.floor(this.#random.nextExponential(meanOutputTokens)),
                firstAttemptAt: this.#queue.now(),
                retries: 0,
            };
            this.#record.addRequest(request.workspace.name, this.#queue.now());
            this.#attempt(request);
            this.#queue.schedule(this.#random.nextExponential(meanIntervalMilliseconds), arrive);
        };
        this.#queue.schedule(this.#random.nextExponential(meanIntervalMilliseconds), arrive);
    }

    /**
     * Sends the request to a random entry. A retry may reach another entry, which has no state of the earlier attempts.
     */
    #attempt(request: TrialRequest): void {
        const attemptedAt = this.#queue.now();
        const entry = this.#random.nextInteger(entries);
        this.#record.addAttempt(attemptedAt);
        this.#admissions[entry].offer({
            workspace: request.workspace.name,
            share: request.workspace.share,
            priority: request.priority,
            deadlineMilliseconds,
            estimatedTokens: meanOutputTokens + 64,
            caller: request.caller,
            isRetry: request.retries > 0,
        }, {
            admit: ticket => this.#serve({ request, entry, attemptedAt, ticket, excluded: new Set() }),
            refuse: retryAfterMilliseconds => this.#refuse(request, attemptedAt, retryAfterMilliseconds),
        });
    }

    #serve(work: {
        readonly request: TrialRequest;
        readonly entry: number;
        readonly attemptedAt: number;
        readonly ticket: { readonly priority: number; readonly release: (end: Release) => void; };
        readonly excluded: Set<string>;
    }): void {
        const { request, entry, attemptedAt, ticket, excluded } = work;
        const sentAt = this.#queue.now();
        const choice = this.#policies[entry].choose({
            blocks: [],
            excluded,
            deadlineMilliseconds: deadlineMilliseconds - (sentAt - attemptedAt),
        });
        if (choice === undefined) {
            ticket.release({ outcome: "refused", tokens: 0 });
            this.#refuse(request, attemptedAt, undefined);
            return;
        }
        this.#budgets[entry].addRequest();
        const runner = this.#runners[choice.runner];
        let firstTokenAt: number | undefined;
        runner.start({ blocks: [], outputTokens: request.outputTokens, priority: ticket.priority }, {
            onFirstToken: header => {
                firstTokenAt = this.#queue.now();
                choice.reportFirstToken(firstTokenAt - sentAt, header);
            },
            onEnd: outcome => {
                choice.reportEnd({ outcome, milliseconds: this.#queue.now() - sentAt });
                if (outcome === "ok") {
                    const wait = firstTokenAt === undefined ? undefined : firstTokenAt - attemptedAt;
                    ticket.release({ outcome, firstTokenMilliseconds: wait, tokens: request.outputTokens + 64 });
                    this.#addAnswer(request, attemptedAt, wait ?? Number.POSITIVE_INFINITY);
                    return;
                }
                excluded.add(runner.options.vm.id);
                if (excluded.size < maxUpstreams && this.#budgets[entry].tryAcquire()) {
                    this.#serve(work);
                    return;
                }
                ticket.release({ outcome, tokens: 0 });
                this.#refuse(request, attemptedAt, undefined);
            },
        });
    }

    #addAnswer(request: TrialRequest, attemptedAt: number, firstTokenMilliseconds: number): void {
        this.#record.addAnswer({
            workspace: request.workspace.name,
            priority: request.priority,
            attemptedAt,
            firstTokenAt: attemptedAt + firstTokenMilliseconds,
            millisecondsSinceFirstAttempt: attemptedAt - request.firstAttemptAt + firstTokenMilliseconds,
            isInTime: firstTokenMilliseconds <= deadlineMilliseconds,
        });
    }

    #refuse(request: TrialRequest, attemptedAt: number, retryAfterMilliseconds: number | undefined): void {
        const now = this.#queue.now();
        this.#record.addRefusal({
            workspace: request.workspace.name,
            priority: request.priority,
            at: now,
            waitMilliseconds: now - attemptedAt,
        });
        if (request.retries >= maxRetries || now >= limitsTimes.end * 1_000) {
            return;
        }
        request.retries += 1;
        const backoffMilliseconds = 500 * 2 ** (request.retries - 1) * (0.75 + this.#random.next() / 2);
        const retryDelayMilliseconds = request.retriesEarly
            ? 200 + this.#random.next() * 800
            : retryAfterMilliseconds ?? backoffMilliseconds;
        this.#queue.schedule(retryDelayMilliseconds, () => this.#attempt(request));
    }
}
