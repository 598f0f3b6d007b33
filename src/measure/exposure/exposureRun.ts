/** One run of the exposure measurement: a simulated roll-out whose candidate degrades. */
import type { CallerHash, RolloutPolicy } from "../../decisions/exposure/index.js";
import { type AnswerChances, type ExposureCase, goodChances } from "./exposureCase.js";
import {
    baseline,
    candidate,
    classes,
    entryCount,
    type ExposureEntry,
    ExposureSite,
    rolloutId,
    stages,
} from "./exposureSite.js";

/** Time between two requests to the whole site, in milliseconds. */
export const requestIntervalMilliseconds = 50;
const evaluationIntervalMilliseconds = 1000;
/** Length of the history before the run: answers of the baseline and, if it was exposed before, of the candidate. */
const historyMilliseconds = 1_800_000;
const historyAnswers = 18_000;
const midHistoryAnswers = 800;
const goodScore = 0.85;
const badScore = 0.25;
const scoreDeviation = 0.08;

/** Roll-out strategies that are compared. */
export type ExposureStrategy = "shared" | "each entry alone";

/** Result of a run. */
export interface ExposureResult {
    /**
     * Callers that received a bad or failed answer from the degraded candidate. Slow answers count in cases that make
     * them more likely than with the baseline.
     */
    readonly harmed: number;
    /** Callers that the candidate answered after it had degraded. */
    readonly exposed: number;
    /** Milliseconds from the degradation until the last answer of the candidate; `undefined` if it was not halted. */
    readonly detectedAfter: number | undefined;
    readonly halted: boolean;
    readonly finished: boolean;
}

/** Options of a run. */
export interface ExposureRunOptions {
    readonly seed: number;
    readonly hash: CallerHash;
    readonly exposureCase: ExposureCase;
    readonly strategy: ExposureStrategy;
    readonly durationMilliseconds: number;
    readonly policy?: Partial<RolloutPolicy>;
    /** Time between two exchanges of counts, in milliseconds; one second by default. */
    readonly gossipIntervalMilliseconds?: number;
    /** Whether the run ends when all entries have halted the candidate. */
    readonly endsAtHalt: boolean;
}

interface DelayedRating {
    readonly at: number;
    readonly entry: ExposureEntry;
    readonly version: string;
    readonly requestClass: string;
    readonly score: number;
    readonly answeredAt: number;
}

/** Simulates a roll-out over eight entries. */
export class ExposureRun {
    readonly #options: ExposureRunOptions;
    readonly #site: ExposureSite;
    readonly #delayedRatings = new Map<number, DelayedRating[]>();
    #harmedCount = 0;
    #exposedCount = 0;
    #lastExposedAt = 0;

    constructor(options: ExposureRunOptions) {
        this.#options = options;
        const { seed, hash, exposureCase } = options;
        const policy = { ...exposureCase.policy, ...options.policy };
        this.#site = new ExposureSite({ seed, hash, sharesState: options.strategy === "shared", policy });
    }

    /** Runs the simulation and returns its result. */
    run(): ExposureResult {
        const site = this.#site;
        const { moment, degradesAt } = this.#options.exposureCase;
        this.#advanceClockPastHistory();
        site.startRollout(moment === "first stage" ? 0 : moment === "mid roll-out" ? 2 : "finished");
        this.#addHistory(baseline, historyAnswers);
        if (moment !== "first stage") {
            this.#addHistory(candidate, moment === "mid roll-out" ? midHistoryAnswers : historyAnswers);
        }
        let halted = false;
        let time = 0;
        for (; time < this.#options.durationMilliseconds; time += requestIntervalMilliseconds) {
            site.clock.advance(requestIntervalMilliseconds);
            site.deliver();
            this.#deliverRatings();
            if (time % (this.#options.gossipIntervalMilliseconds ?? evaluationIntervalMilliseconds) === 0) {
                site.gossip();
            }
            if (time % evaluationIntervalMilliseconds === 0) {
                site.evaluate();
                halted = site.entries.every(({ fold }) => fold.isHalted(candidate));
                if (halted && this.#options.endsAtHalt) {
                    break;
                }
            }
            this.#handleRequest(time, time >= degradesAt);
        }
        const finished = site.entries[0].fold.getRollout(rolloutId)?.state === "finished";
        const detectedAfter = halted ? this.#lastExposedAt - degradesAt : undefined;
        return { harmed: this.#harmedCount, exposed: this.#exposedCount, detectedAfter, halted, finished };
    }

    /** Moves the clock forward by the length of the history, so that the history's times are not negative. */
    #advanceClockPastHistory(): void {
        this.#site.clock.advance(historyMilliseconds);
    }

    #addHistory(version: string, answers: number): void {
        const { clock, random, entries } = this.#site;
        const startedAt = clock.wall() - (answers < historyAnswers ? 120_000 : historyMilliseconds);
        const length = clock.wall() - startedAt - 10_000;
        for (let answer = 0; answer < answers; answer += 1) {
            const answeredAt = startedAt + length * answer / answers;
            const entry = entries[random.nextInteger(entryCount)];
            this.#answer({ entry, version, chances: goodChances, answeredAt, isRatingDelayed: false });
        }
        this.#site.gossip();
    }

    #handleRequest(time: number, isDegraded: boolean): void {
        const { random, entries, clock } = this.#site;
        const entry = entries[random.nextInteger(entryCount)];
        const caller = `caller-${time}`;
        const version = this.#pick(entry, caller);
        const { exposureCase } = this.#options;
        const isCandidate = version === candidate;
        const chances = isCandidate && isDegraded ? exposureCase.chances : goodChances;
        const harmed = this.#answer({ entry, version, chances, answeredAt: clock.wall(), isRatingDelayed: true });
        if (isCandidate && isDegraded) {
            this.#exposedCount += 1;
            this.#harmedCount += harmed ? 1 : 0;
            this.#lastExposedAt = time;
        }
    }

    #pick(entry: ExposureEntry, caller: string): string {
        if (this.#options.strategy === "shared") {
            return entry.router.pick({ rollout: rolloutId, caller }) ?? baseline;
        }
        const share = entry.fold.getShare(rolloutId);
        return this.#site.random.next() < share && stages.length > 0 ? candidate : baseline;
    }

    /**
     * Draws an answer and its rating, and adds them to the entry's evidence.
     * @returns Whether the caller was harmed.
     */
    #answer(input: {
        entry: ExposureEntry;
        version: string;
        chances: AnswerChances;
        answeredAt: number;
        isRatingDelayed: boolean;
    }): boolean {
        const { entry, version, answeredAt } = input;
        const { random } = this.#site;
        const { exposureCase } = this.#options;
        const requestClass = classes[random.nextInteger(classes.length)];
        const isUnaffected = exposureCase.onlyClass !== undefined && exposureCase.onlyClass !== requestClass;
        const chances = isUnaffected ? goodChances : input.chances;
        const bad = random.next() < chances.bad;
        const failed = random.next() < chances.failed;
        const slow = random.next() < chances.slow;
        entry.evidence.addAnswer({ version, requestClass, failed, slow, answeredAt });
        const ratedShare = bad ? exposureCase.ratedShareOfBad : exposureCase.ratedShare;
        if (!failed && random.next() < ratedShare) {
            const score = (bad ? badScore : goodScore) + scoreDeviation * random.nextNormal();
            const delay = input.isRatingDelayed ? random.nextExponential(exposureCase.meanRatingDelayMilliseconds) : 0;
            this.#schedule({ at: this.#site.clock.wall() + delay, entry, version, requestClass, score, answeredAt });
        }
        return bad || failed || slow && exposureCase.chances.slow > goodChances.slow;
    }

    #schedule(rating: DelayedRating): void {
        if (rating.at <= this.#site.clock.wall()) {
            rating.entry.evidence.addRating(rating);
            return;
        }
        const tick = Math.ceil(rating.at / requestIntervalMilliseconds);
        const queue = this.#delayedRatings.get(tick) ?? [];
        queue.push(rating);
        this.#delayedRatings.set(tick, queue);
    }

    #deliverRatings(): void {
        const tick = Math.floor(this.#site.clock.wall() / requestIntervalMilliseconds);
        for (const rating of this.#delayedRatings.get(tick) ?? []) {
            rating.entry.evidence.addRating(rating);
        }
        this.#delayedRatings.delete(tick);
    }
}
