/**
 * Replays a fleet in memory: nodes with a quarantine each, runners that crash, callers whose requests are harmless, and one
 * request that crashes each runner that begins to run it.
 */
import { ManualClock, RandomSource } from "../../src/common/index.js";
import { type CrashRecord, crashWindowMilliseconds, type Quarantine } from "../../src/quarantine/index.js";
import { createQuarantine } from "../fixtures/quarantines.js";

/** Time within which all nodes must know of a request's third crash, in milliseconds. */
const contactMilliseconds = 3_000;
const maxAttempts = 3;

/** Options of a replay. */
export interface CrashReplayOptions {
    readonly seed: number;
    readonly nodes: number;
    readonly runners: number;
    /** Harmless requests a second. */
    readonly requestsPerSecond: number;
    /** Intervals of the crashing request's returns, in milliseconds. Undefined when there is none. */
    readonly returnMilliseconds?: number;
    /** Copies of the crashing request with each return, at different nodes. */
    readonly copies?: number;
    /** Times at which a share of all runners crashes at once, in milliseconds. */
    readonly outages?: readonly number[];
    readonly outageShare?: number;
    /** Copies of each harmless request that its caller sends at once. */
    readonly harmlessCopies?: number;
    /** Whether the harmless requests share a few fingerprints, as those without a body do. */
    readonly sharesFingerprints?: boolean;
    /** Delays of urgent and other records to the other nodes, in milliseconds. */
    readonly urgentMilliseconds?: number;
    readonly exchangeMilliseconds?: number;
}

/** Result of a replay. */
export interface CrashReplayResult {
    readonly harmlessRequests: number;
    /** Harmless requests that were refused. */
    readonly refusedHarmless: number;
    /** Runners that the crashing request has ended. */
    readonly crashes: number;
    /** Times that the crashing request reached a runner later than the contact time after its third crash. */
    readonly lateRetries: number;
    readonly publications: number;
}

interface Run {
    readonly request: ReplayedRequest;
    readonly pointsAtStart: number;
    headAt: number | undefined;
    isOver: boolean;
}

interface ReplayedRequest {
    readonly fingerprint: string;
    readonly isCrashing: boolean;
    readonly node: number;
    readonly excluded: Set<Runner>;
    attempts: number;
}

interface Runner {
    readonly runs: Set<Run>;
    isDown: boolean;
}

const lengthMilliseconds = 60_000;
/** When the crashing request comes first: some requests have run to their end by then. */
const firstReturnMilliseconds = 10_000;
const restartMilliseconds = 2_500;
const meanWaitMilliseconds = 250;
const meanRunMilliseconds = 1_500;

/** Plays one minute of a fleet. */
export class CrashReplay {
    readonly #options: CrashReplayOptions;
    readonly #clock = new ManualClock(1_000_000);
    readonly #random: RandomSource;
    readonly #quarantines: Quarantine[] = [];
    readonly #runners: Runner[] = [];
    readonly #queue: { readonly at: number; readonly action: () => void; }[] = [];
    readonly #startedAt = this.#clock.monotonic();
    #harmless = 0;
    #refused = 0;
    #crashes = 0;
    #thirdCrashAt = Number.POSITIVE_INFINITY;
    #lateRetries = 0;
    #publications = 0;

    constructor(options: CrashReplayOptions) {
        this.#options = options;
        this.#random = new RandomSource(options.seed);
        for (let index = 0; index < options.nodes; index += 1) {
            this.#quarantines.push(this.#createQuarantine(index));
        }
        for (let index = 0; index < options.runners; index += 1) {
            this.#runners.push({ runs: new Set(), isDown: false });
        }
    }

    /** Plays the fleet to its end. */
    play(): CrashReplayResult {
        this.#scheduleHarmless();
        if (this.#options.returnMilliseconds !== undefined) {
            const { returnMilliseconds } = this.#options;
            this.#schedule(firstReturnMilliseconds, () => this.#scheduleReturn(returnMilliseconds));
        }
        for (const outage of this.#options.outages ?? []) {
            this.#schedule(outage, () => this.#crashMany());
        }
        for (;;) {
            const next = this.#queue.shift();
            if (next === undefined || next.at > this.#startedAt + lengthMilliseconds) {
                break;
            }
            this.#clock.advance(next.at - this.#clock.monotonic());
            next.action();
        }
        return {
            harmlessRequests: this.#harmless,
            refusedHarmless: this.#refused,
            crashes: this.#crashes,
            lateRetries: this.#lateRetries,
            publications: this.#publications,
        };
    }

    #createQuarantine(node: number): Quarantine {
        const { quarantine, published } = createQuarantine({ clock: this.#clock, isTrialNode: () => node === 0 });
        const { urgentMilliseconds = 100, exchangeMilliseconds = 3_000 } = this.#options;
        published.push = (...items) => {
            this.#publications += items.length;
            for (const { records, urgent } of items) {
                this.#send(node, records, urgent ? urgentMilliseconds : exchangeMilliseconds);
            }
            return 0;
        };
        return quarantine;
    }

    #send(from: number, records: readonly CrashRecord[], milliseconds: number): void {
        for (const [node, quarantine] of this.#quarantines.entries()) {
            if (node !== from) {
                this.#schedule(this.#random.next() * milliseconds, () => quarantine.merge(records));
            }
        }
    }

    #schedule(milliseconds: number, action: () => void): void {
        const at = this.#clock.monotonic() + milliseconds;
        let index = this.#queue.length;
        while (index > 0 && this.#queue[index - 1].at > at) {
            index -= 1;
        }
        this.#queue.splice(index, 0, { at, action });
    }

    #scheduleHarmless(): void {
        this.#schedule(this.#random.nextExponential(1_000 / this.#options.requestsPerSecond), () => {
            this.#harmless += 1;
            const shared = `path-${this.#random.nextInteger(10)}`;
            const fingerprint = this.#options.sharesFingerprints === true ? shared : `harmless-${this.#harmless}`;
            for (let copy = 0; copy < (this.#options.harmlessCopies ?? 1); copy += 1) {
                this.#start(fingerprint, false);
            }
            this.#scheduleHarmless();
        });
    }

    #scheduleReturn(milliseconds: number): void {
        this.#schedule(this.#random.nextExponential(milliseconds), () => {
            for (let copy = 0; copy < (this.#options.copies ?? 1); copy += 1) {
                this.#start("crashing", true);
            }
            this.#scheduleReturn(milliseconds);
        });
    }

    #start(fingerprint: string, isCrashing: boolean): void {
        const node = this.#random.nextInteger(this.#quarantines.length);
        this.#attempt({ fingerprint, isCrashing, node, excluded: new Set(), attempts: 0 });
    }

    #attempt(request: ReplayedRequest): void {
        const quarantine = this.#quarantines[request.node];
        const getFingerprint = (): string => request.fingerprint;
        if (quarantine.admit(getFingerprint) !== undefined) {
            this.#refused += request.isCrashing ? 0 : 1;
            return;
        }
        const runner = this.#pick(request);
        if (runner === undefined || request.attempts === maxAttempts) {
            return;
        }
        request.attempts += 1;
        request.excluded.add(runner);
        if (request.isCrashing && this.#clock.monotonic() > this.#thirdCrashAt + contactMilliseconds) {
            this.#lateRetries += 1;
        }
        const pointsAtStart = quarantine.getPoints(getFingerprint);
        const run: Run = { request, pointsAtStart, headAt: undefined, isOver: false };
        runner.runs.add(run);
        const wait = this.#random.nextExponential(meanWaitMilliseconds);
        this.#schedule(wait, () => this.#begin(runner, run));
    }

    /** Picks the runner with the fewest runs of three random ones. */
    #pick({ excluded }: ReplayedRequest): Runner | undefined {
        const available = this.#runners.filter(runner => !runner.isDown && !excluded.has(runner));
        let best: Runner | undefined;
        for (let draw = 0; draw < 3 && available.length > 0; draw += 1) {
            const candidate = available[this.#random.nextInteger(available.length)];
            best = best === undefined || candidate.runs.size < best.runs.size ? candidate : best;
        }
        return best;
    }

    #begin(runner: Runner, run: Run): void {
        if (run.isOver) {
            return;
        }
        run.headAt = this.#clock.monotonic();
        if (run.request.isCrashing) {
            this.#schedule(50 + this.#random.next() * 50, () => this.#crashBy(runner, run));
            return;
        }
        this.#schedule(this.#random.nextExponential(meanRunMilliseconds), () => this.#complete(runner, run));
    }

    #complete(runner: Runner, run: Run): void {
        if (!run.isOver) {
            run.isOver = true;
            runner.runs.delete(run);
            this.#quarantines[run.request.node].addSurvival(run.request.fingerprint);
        }
    }

    #crashBy(runner: Runner, run: Run): void {
        if (run.isOver) {
            return;
        }
        this.#crashes += 1;
        this.#thirdCrashAt = this.#crashes === 3 ? this.#clock.monotonic() : this.#thirdCrashAt;
        this.#crash(runner);
    }

    #crashMany(): void {
        for (const runner of this.#runners) {
            if (!runner.isDown && this.#random.next() < (this.#options.outageShare ?? 0.5)) {
                this.#crash(runner);
            }
        }
    }

    #crash(runner: Runner): void {
        runner.isDown = true;
        this.#schedule(restartMilliseconds, () => {
            runner.isDown = false;
        });
        const runs = [...runner.runs];
        runner.runs.clear();
        for (const run of runs) {
            run.isOver = true;
            this.#reportCrash(run);
            this.#attempt(run.request);
        }
    }

    #reportCrash({ request, headAt, pointsAtStart }: Run): void {
        const { fingerprint, node, attempts } = request;
        if (headAt !== undefined && this.#clock.monotonic() - headAt > crashWindowMilliseconds) {
            return;
        }
        this.#quarantines[node].addCrash({
            fingerprint,
            pointsAtStart,
            stage: headAt === undefined ? "waiting" : "running",
            isLastAttempt: attempts === maxAttempts,
        });
    }
}
