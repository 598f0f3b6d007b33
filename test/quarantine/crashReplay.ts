/**
 * Replays a fleet in memory: nodes with their watch for crashes, runners that crash, callers whose requests are harmless, and one
 * request, or one part of prompts, that crashes each runner that begins to run it.
 */
import { ManualClock, RandomSource } from "../../src/common/index.js";
import {
    type CrashRecord,
    CrashWatch,
    createTraitKeys,
    partPolicy,
    type Quarantine,
    requestPolicy,
    type SuspicionPolicy,
    type UpstreamLife,
    type WatchedRequest,
    type WatchedRun,
} from "../../src/quarantine/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createQuarantine } from "../fixtures/quarantines.js";
import type { CrashReplayOptions, CrashReplayResult } from "./crashReplayOptions.js";

/** Time within which all nodes must know of the decisive crash, in milliseconds. */
const contactMilliseconds = 3_000;
/** Crashes by which a request and a part of prompts must be known. */
const decisiveCrashes = { request: 3, part: 5 };
/** Kinds of prompts, by their first part, and subjects of a kind, by their second. */
const kinds = 3;
const subjects = 40;
const maxAttempts = 3;
/** Share of the harmless requests that are lookups on one path, where there are any, and the orders that they ask for. */
const lookupShare = 0.5;
const lookupOrders = 1_000_000;

interface Node {
    readonly watch: CrashWatch;
    readonly quarantine: Quarantine;
    readonly partQuarantine: Quarantine;
    /** Runners that it knows to be dark, with the number of the life that has ended. */
    readonly dark: Map<Runner, number>;
}

interface Run {
    readonly request: ReplayedRequest;
    readonly watched: WatchedRun;
    isOver: boolean;
    /** Whether its answer has started. */
    hasBegun: boolean;
}

interface ReplayedRequest {
    readonly watched: WatchedRequest;
    readonly isCrashing: boolean;
    /** Whether its prompt has the same first part as those that crash runners. */
    readonly isRelated: boolean;
    readonly node: number;
    readonly excluded: Set<Runner>;
    attempts: number;
}

interface Runner {
    readonly runs: Set<Run>;
    isDown: boolean;
    /** Number of its starts. */
    life: number;
}

const lengthMilliseconds = 60_000;
/** When the crashing request comes first: some requests have run to their end by then. */
const firstReturnMilliseconds = 10_000;
const restartMilliseconds = 2_500;
const meanWaitMilliseconds = 250;
const meanRunMilliseconds = 1_500;
/** When a node notices that a runner is silent, and how long it waits for a sign of life then. */
const silenceMilliseconds = 1_300;
const livenessMilliseconds = 1_300;
/** When the pieces of an answer arrive that show that it goes on, after its head. */
const pieceMilliseconds = [250, 450];
/** Longest time between two pieces of an answer. */
const maxPauseMilliseconds = 50;

/** Plays one minute of a fleet. */
export class CrashReplay {
    readonly #options: CrashReplayOptions;
    readonly #clock = new ManualClock(1_000_000);
    /** How long ago what the watches see has happened, in milliseconds. */
    #lag = 0;
    readonly #random: RandomSource;
    readonly #nodes: Node[] = [];
    readonly #runners: Runner[] = [];
    readonly #queue: { readonly at: number; readonly action: () => void; }[] = [];
    readonly #pending: Promise<void>[] = [];
    readonly #startedAt = this.#clock.monotonic();
    #harmless = 0;
    #refused = 0;
    #crashes = 0;
    #lateAt = Number.POSITIVE_INFINITY;
    #lateRetries = 0;
    #lateRelated = 0;
    #refusedRelated = 0;
    #crashingRequests = 0;
    #publications = 0;

    constructor(options: CrashReplayOptions) {
        this.#options = options;
        this.#random = new RandomSource(options.seed);
        for (let index = 0; index < options.nodes; index += 1) {
            this.#nodes.push(this.#createNode(index));
        }
        for (let index = 0; index < options.runners; index += 1) {
            this.#runners.push({ runs: new Set(), isDown: false, life: 0 });
        }
    }

    /** Plays the fleet to its end. */
    async play(): Promise<CrashReplayResult> {
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
            await this.#settle();
        }
        return {
            harmlessRequests: this.#harmless,
            refusedHarmless: this.#refused,
            crashes: this.#crashes,
            lateRetries: this.#lateRetries,
            lateRelated: this.#lateRelated,
            refusedRelated: this.#refusedRelated,
            publications: this.#publications,
        };
    }

    /** Lets the evaluations of runs that have just ended finish. */
    async #settle(): Promise<void> {
        const pending = this.#pending.splice(0);
        for (const evaluation of pending) {
            await evaluation;
        }
    }

    #createNode(index: number): Node {
        const quarantine = this.#createQuarantine(index, "quarantine", requestPolicy);
        const partQuarantine = this.#createQuarantine(index, "partQuarantine", partPolicy);
        const watch = new CrashWatch({
            clock: {
                monotonic: () => this.#clock.monotonic() - this.#lag,
                wall: () => this.#clock.wall() - this.#lag,
            },
            journal: createJournal().journal,
            quarantine,
            partQuarantine,
            wait: milliseconds => new Promise(resolve => this.#schedule(milliseconds, () => resolve(undefined))),
        });
        return { watch, quarantine, partQuarantine, dark: new Map() };
    }

    #createQuarantine(
        node: number,
        kind: "quarantine" | "partQuarantine",
        policy: SuspicionPolicy,
    ): Quarantine {
        const { quarantine, published } = createQuarantine({
            clock: this.#clock,
            policy,
            getTrialRank: () => node,
        });
        const { urgentMilliseconds = 100, exchangeMilliseconds = 3_000 } = this.#options;
        published.push = (...items) => {
            this.#publications += items.length;
            for (const { records, urgent } of items) {
                this.#send(node, kind, { records, milliseconds: urgent ? urgentMilliseconds : exchangeMilliseconds });
            }
            return 0;
        };
        return quarantine;
    }

    #send(
        from: number,
        kind: "quarantine" | "partQuarantine",
        { records, milliseconds }: { readonly records: readonly CrashRecord[]; readonly milliseconds: number; },
    ): void {
        for (const [index, node] of this.#nodes.entries()) {
            if (index !== from) {
                this.#schedule(this.#random.next() * milliseconds, () => node[kind].merge(records));
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
            const { sharesFingerprints, lookups } = this.#options;
            const ownFingerprint = sharesFingerprints === true ? shared : `harmless-${this.#harmless}`;
            const isLookup = lookups !== undefined && this.#random.next() < lookupShare;
            const fingerprint = isLookup ? "lookup" : ownFingerprint;
            const query = isLookup ? `order=${this.#random.nextInteger(lookupOrders)}&lang=en` : "";
            const kind = this.#random.nextInteger(kinds);
            const isPopular = this.#random.next() < (this.#options.popularShare ?? 0);
            const subject = isPopular ? 0 : this.#random.nextInteger(subjects);
            // Requests without a body have no prompt.
            const parts = sharesFingerprints === true || isLookup
                ? []
                : [`kind-${kind}`, `subject-${kind}-${subject}`];
            for (let copy = 0; copy < (this.#options.harmlessCopies ?? 1); copy += 1) {
                this.#start({ fingerprint, query, parts, isCrashing: false });
            }
            this.#scheduleHarmless();
        });
    }

    #scheduleReturn(milliseconds: number): void {
        this.#schedule(this.#random.nextExponential(milliseconds), () => {
            for (let copy = 0; copy < (this.#options.copies ?? 1); copy += 1) {
                this.#startCrashing();
            }
            this.#scheduleReturn(milliseconds);
        });
    }

    #startCrashing(): void {
        const { cause = "request", crashingParts = 1 } = this.#options;
        this.#crashingRequests += 1;
        const part = this.#random.nextInteger(crashingParts);
        this.#start(
            cause === "request"
                ? { ...this.#createCrashingLookup(), parts: [], isCrashing: true }
                : {
                    fingerprint: `crashing-${this.#crashingRequests}`,
                    parts: ["kind-0", `crashing-${part}`, "subject-0-1"],
                    isCrashing: true,
                },
        );
    }

    /** Returns the crashing request, which is a lookup on the path of harmless ones where those have queries. */
    #createCrashingLookup(): { readonly fingerprint: string; readonly query?: string; } {
        const { lookups } = this.#options;
        if (lookups === undefined) {
            return { fingerprint: "crashing" };
        }
        const order = "order=cra%73hing";
        const reference = `ref=${this.#crashingRequests}`;
        // A caller may write the same query in another order.
        const query = this.#crashingRequests % 2 === 0 ? `${reference}&${order}` : `order=crashing&${reference}`;
        return { fingerprint: "lookup", query: lookups === "same-query" ? "order=crashing" : query };
    }

    #start(
        { fingerprint, query = "", parts, isCrashing }: {
            readonly fingerprint: string;
            readonly query?: string;
            readonly parts: readonly string[];
            readonly isCrashing: boolean;
        },
    ): void {
        const node = this.#random.nextInteger(this.#nodes.length);
        const watched: WatchedRequest = {
            id: fingerprint,
            isStream: true,
            getFingerprint: () => fingerprint,
            getTraitKeys: () => createTraitKeys(fingerprint, query),
            getPartKeys: () => parts,
        };
        const isRelated = !isCrashing && parts[0] === "kind-0";
        const request = { watched, isCrashing, isRelated, node, excluded: new Set<Runner>(), attempts: 0 };
        if (isRelated && this.#clock.monotonic() > this.#lateAt) {
            this.#lateRelated += 1;
            this.#refusedRelated += this.#attempt(request) ? 0 : 1;
        }
        else {
            this.#attempt(request);
        }
    }

    #getElapsed(): number {
        return this.#clock.monotonic() - this.#startedAt;
    }

    /** Returns whether the request was admitted. */
    #attempt(request: ReplayedRequest): boolean {
        const { watch } = this.#nodes[request.node];
        if (watch.admit(request.watched) !== undefined) {
            this.#refused += request.isCrashing ? 0 : 1;
            return false;
        }
        const runner = this.#pick(request);
        if (runner === undefined || request.attempts === maxAttempts) {
            return true;
        }
        request.attempts += 1;
        request.excluded.add(runner);
        if (request.isCrashing && !runner.isDown && this.#clock.monotonic() > this.#lateAt) {
            this.#lateRetries += 1;
        }
        const { life } = runner;
        const watched = watch.startRun(request.watched, {
            upstream: {
                id: String(this.#runners.indexOf(runner)),
                startedAt: life,
                isRefusingConnections: () =>
                    Promise.resolve(runner.isDown && runner.life === life && this.#options.goesDark !== true),
                getLife: () => this.#getLife(runner, life),
            },
            isLastAttempt: () => request.attempts === maxAttempts,
        });
        const run: Run = { request, watched, isOver: false, hasBegun: false };
        if (runner.isDown) {
            run.isOver = true;
            this.#schedule(silenceMilliseconds, () => this.#observeSilence(runner, run, life));
            return true;
        }
        runner.runs.add(run);
        const up = this.#runners.filter(one => !one.isDown).length;
        const wait = this.#random.nextExponential(this.#options.waitMilliseconds ?? meanWaitMilliseconds);
        this.#schedule(wait * this.#runners.length / up, () => this.#begin(runner, run));
        return true;
    }

    /** Picks the runner with the fewest runs of three random ones. */
    #pick({ excluded, node }: ReplayedRequest): Runner | undefined {
        const available = this.#runners.filter(runner => !this.#isKnownDown(runner, node) && !excluded.has(runner));
        let best: Runner | undefined;
        for (let draw = 0; draw < 3 && available.length > 0; draw += 1) {
            const candidate = available[this.#random.nextInteger(available.length)];
            best = best === undefined || candidate.runs.size < best.runs.size ? candidate : best;
        }
        return best;
    }

    #isKnownDown(runner: Runner, node: number): boolean {
        return runner.isDown
            && (this.#options.goesDark !== true || this.#nodes[node].dark.get(runner) === runner.life);
    }

    #begin(runner: Runner, run: Run): void {
        if (run.isOver) {
            return;
        }
        const isSure = run.request.isCrashing && this.#options.endsBeforeHead === true;
        if (!isSure) {
            run.hasBegun = true;
            run.watched.markHead();
        }
        const crashesFrom = firstReturnMilliseconds + (this.#options.soundMilliseconds ?? 0);
        if (run.request.isCrashing && this.#getElapsed() >= crashesFrom) {
            this.#schedule(50 + this.#random.next() * 50, () => this.#crashBy(runner, run));
            return;
        }
        for (const milliseconds of pieceMilliseconds) {
            this.#schedule(milliseconds, () => run.isOver || run.watched.markPiece());
        }
        this.#schedule(this.#random.nextExponential(meanRunMilliseconds), () => this.#complete(runner, run));
    }

    #complete(runner: Runner, run: Run): void {
        if (!run.isOver) {
            run.isOver = true;
            runner.runs.delete(run);
            run.watched.markPiece();
            void this.#evaluate(run, "complete");
        }
    }

    #crashBy(runner: Runner, run: Run): void {
        if (run.isOver) {
            return;
        }
        this.#crashes += 1;
        const { cause = "request", crashingParts = 1 } = this.#options;
        if (this.#crashes === decisiveCrashes[cause] * crashingParts) {
            this.#lateAt = this.#clock.monotonic() + contactMilliseconds;
        }
        this.#crash(runner);
    }

    #crashMany(): void {
        for (const runner of this.#runners) {
            if (!runner.isDown && this.#random.next() < (this.#options.outageShare ?? 0.5)) {
                this.#crash(runner);
            }
        }
    }

    #getLife(runner: Runner, life: number): Promise<UpstreamLife> {
        if (!runner.isDown || runner.life !== life) {
            return Promise.resolve(runner.life === life ? "running" : "ended");
        }
        return new Promise(resolve => this.#schedule(livenessMilliseconds, () => resolve("unresponsive")));
    }

    #crash(runner: Runner): void {
        const { life } = runner;
        runner.isDown = true;
        this.#schedule(restartMilliseconds, () => {
            runner.isDown = false;
            runner.life += 1;
        });
        const runs = [...runner.runs];
        runner.runs.clear();
        for (const run of runs) {
            run.isOver = true;
            if (this.#options.goesDark === true) {
                this.#markLastPiece(run);
                this.#schedule(silenceMilliseconds, () => this.#observeSilence(runner, run, life));
            }
            else {
                void this.#evaluate(run, "disconnected").then(() => this.#attempt(run.request));
            }
        }
    }

    /** Records the last piece of an answer that has begun. */
    #markLastPiece({ hasBegun, watched }: Run): void {
        if (hasBegun) {
            this.#lag = this.#random.next() * maxPauseMilliseconds;
            watched.markPiece();
            this.#lag = 0;
        }
    }

    /** Sends the request of a silent run to another runner. */
    #observeSilence(runner: Runner, { request, watched }: Run, life: number): void {
        const { dark, watch } = this.#nodes[request.node];
        dark.set(runner, life);
        watch.observeSilence(watched);
        this.#attempt(request);
    }

    #evaluate({ request, watched }: Run, end: "complete" | "disconnected"): Promise<void> {
        const { watch } = this.#nodes[request.node];
        const evaluation = watch.evaluate(watched, end);
        this.#pending.push(evaluation);
        return evaluation;
    }
}
