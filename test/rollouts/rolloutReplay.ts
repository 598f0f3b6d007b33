/**
 * Replays a roll-out in memory: one node, runners whose answers get slower with their load, and callers whose demand changes.
 */
import { ManualClock, RandomSource } from "../../src/common/index.js";
import type { RegisteredUpstream } from "../../src/fleet/index.js";
import { type RolloutProgress, Rollouts } from "../../src/rollouts/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream, createUpstreamRegistry } from "../fixtures/upstreams.js";
import {
    exposureExtra,
    fullHeadIncrease,
    fullPauseIncrease,
    headMilliseconds,
    maxBadAnswers,
    minSamplePauses,
    pauseMilliseconds,
    pool,
    rollbackMilliseconds,
    samplePauses,
} from "./replayConstants.js";

const stepMilliseconds = 10;
const tickMilliseconds = 200;
/** Time until a written step or a cancelled answer is known. */
const deliveryMilliseconds = 200;
const runnersPerVersion = 4;
const slots = 48;
/** Time of the order. */
const orderedAt = 3_000;
/** The users' bound of the site: share of the requests. */
const exposureShare = 0.15;
/** Factors by which slow answers begin later and have longer pauses: most of what is slow comes between the parts. */
const slowHeadFactor = 1.5;
const slowPauseFactor = 6;
/** Share of the requests that are answered by a stream. The others get a single part. */
const streamShare = 0.35;
const medianParts = 45;

/** Options of a replay. */
export interface RolloutReplayOptions {
    readonly seed: number;
    readonly durationMilliseconds: number;
    /** Requests a second, at a time since the order in milliseconds. */
    readonly getRate: (elapsed: number) => number;
    /** Share of the new version's requests that are slow. */
    readonly slowShare: number;
    /** Factor by which the answers of all runners of both versions take longer, at a time since the order in milliseconds. 1 if omitted. */
    readonly getSlowdown?: (elapsed: number) => number;
}

/** What a roll-out did. */
export interface ReplayedRollout {
    readonly state: string | undefined;
    /** Milliseconds from the order to the last step, and to the last request at the new version. */
    readonly endedAt: number | undefined;
    readonly lastSentAt: number;
    /** Requests that the new version got, and how many a bad one may get. */
    readonly exposed: number;
    readonly allowed: number;
    /** Requests that the new version got later than the bound after its 50th bad answer. */
    readonly late: number;
    readonly steps: readonly { readonly at: number; readonly share: number; }[];
}

interface Task {
    readonly at: number;
    readonly run: () => void;
}

/** Replays one roll-out. */
export class RolloutReplay {
    readonly #options: RolloutReplayOptions;
    readonly #clock = new ManualClock();
    readonly #random: RandomSource;
    readonly #rollouts: Rollouts;
    readonly #upstreams: readonly RegisteredUpstream[];
    /** The upstreams of the old version. Those of the new one start with the order. */
    readonly #currentUpstreams: readonly RegisteredUpstream[];
    readonly #running = new Map<string, number>();
    readonly #steps: { at: number; progress: RolloutProgress; }[] = [];
    readonly #sentAt: number[] = [];
    readonly #badAt: number[] = [];
    #tasks: Task[] = [];
    #requests = 0;
    #poolRequests = 0;

    constructor(options: RolloutReplayOptions) {
        this.#options = options;
        this.#random = new RandomSource(options.seed);
        const registry = createUpstreamRegistry(this.#clock);
        this.#upstreams = ["v1", "v2"].flatMap(version =>
            Array.from({ length: runnersPerVersion }, (...[, index]) => {
                return createUpstream(`${version}-${index}`, { version, slots });
            })
        );
        this.#currentUpstreams = this.#upstreams.filter(({ version }) => version === "v1");
        for (const upstream of this.#upstreams) {
            registry.set(upstream);
        }
        this.#rollouts = new Rollouts({
            self: "n-0",
            clock: this.#clock,
            journal: createJournal().journal,
            registry,
            exposureShare,
            sessionMilliseconds: 5_000,
            getRank: () => 0,
            publishEvidence: () => undefined,
            getReportInterval: () => 0,
            getEvidence: () => [],
            publishHalt: () => undefined,
            writeProgress: async (...[, progress]) => this.#writeProgress(progress),
            isRunning: async () => true,
            isStored: () => true,
            writePins: async () => true,
        });
    }

    /** Runs the roll-out until some seconds after its deadline. */
    async run(): Promise<ReplayedRollout> {
        const { durationMilliseconds } = this.#options;
        const end = orderedAt + durationMilliseconds + 2 * rollbackMilliseconds;
        while (this.#clock.monotonic() < end) {
            this.#clock.advance(stepMilliseconds);
            const now = this.#clock.monotonic();
            if (now === orderedAt) {
                this.#rollouts.setOrder({ id: 7, pool, version: "v2", durationMilliseconds });
            }
            this.#sendRequests(now);
            this.#runDueTasks(now);
            if (now % tickMilliseconds === 0) {
                this.#rollouts.tick();
            }
            // Lets asynchronous writes complete between two steps.
            await Promise.resolve();
        }
        return this.#describe();
    }

    #describe(): ReplayedRollout {
        const bound = (this.#badAt.toSorted((first, second) => first - second)[maxBadAnswers - 1] ?? Infinity)
            + rollbackMilliseconds;
        const last = this.#steps.at(-1);
        return {
            state: last?.progress.state,
            endedAt: last?.at,
            lastSentAt: (this.#sentAt.at(-1) ?? orderedAt) - orderedAt,
            exposed: this.#sentAt.length,
            allowed: exposureShare * this.#poolRequests + exposureExtra,
            late: this.#sentAt.filter(at => at > bound).length,
            steps: this.#steps.map(({ at, progress }) => ({ at, share: progress.share })),
        };
    }

    #writeProgress(progress: RolloutProgress): void {
        if (progress.step === (this.#steps.at(-1)?.progress.step ?? 0) + 1) {
            this.#steps.push({ at: this.#clock.monotonic() - orderedAt, progress });
            this.#schedule(deliveryMilliseconds, () => this.#rollouts.setProgress(pool, progress));
        }
    }

    #sendRequests(now: number): void {
        const perStep = this.#options.getRate(now - orderedAt) * stepMilliseconds / 1_000;
        const count = Math.floor(perStep) + (this.#random.next() < perStep % 1 ? 1 : 0);
        for (let index = 0; index < count; index += 1) {
            this.#requests += 1;
            if (now >= orderedAt && now < orderedAt + this.#options.durationMilliseconds) {
                this.#poolRequests += 1;
            }
            this.#send(`s-${this.#requests}`, now);
        }
    }

    #send(session: string, now: number): void {
        const { upstreams } = this.#rollouts.select(
            pool,
            session,
            now < orderedAt ? this.#currentUpstreams : this.#upstreams,
        );
        const [first, second] = [0, 0].map(() => upstreams[this.#random.nextInteger(upstreams.length)]);
        const upstream = this.#getLoad(first) <= this.#getLoad(second) ? first : second;
        const load = this.#getLoad(upstream);
        const isCandidate = upstream.version === "v2";
        const isSlow = isCandidate && this.#random.next() < this.#options.slowShare;
        if (isCandidate) {
            this.#sentAt.push(now);
        }
        const endRequest = this.#rollouts.startRequest(upstream, session);
        const watch = this.#rollouts.watchAttempt(upstream, {
            segment: `route ${this.#requests % 2}`,
            objectiveMilliseconds: 1_000,
            pauseObjectiveMilliseconds: 600,
            isWarmingUp: false,
            load,
        });
        this.#running.set(upstream.id, (this.#running.get(upstream.id) ?? 0) + 1);
        const [headFactor, pauseFactor] = isSlow ? [slowHeadFactor, slowPauseFactor] : [1, 1];
        const slowdown = this.#options.getSlowdown?.(now - orderedAt) ?? 1;
        const head = headMilliseconds * headFactor * slowdown * (1 + fullHeadIncrease * load)
            * Math.exp(0.8 * this.#random.nextNormal());
        const pause = pauseMilliseconds * pauseFactor * slowdown * (1 + fullPauseIncrease * load)
            * Math.exp(0.3 * this.#random.nextNormal());
        const isStream = this.#random.next() < streamShare;
        const pauses = isStream ? Math.round(medianParts * Math.exp(0.5 * this.#random.nextNormal())) : 0;
        this.#schedule(head, () => watch?.markHead());
        if (pauses >= minSamplePauses) {
            this.#schedule(head + Math.min(pauses, samplePauses) * pause, () => watch?.addPause(pause));
        }
        this.#schedule(head + pauses * pause, () => {
            watch?.end("answered");
            endRequest();
            this.#running.set(upstream.id, this.#running.get(upstream.id)! - 1);
            if (isSlow) {
                this.#badAt.push(this.#clock.monotonic());
            }
        });
    }

    #getLoad({ id }: RegisteredUpstream): number {
        return (this.#running.get(id) ?? 0) / slots;
    }

    #schedule(afterMilliseconds: number, run: () => void): void {
        this.#tasks.push({ at: this.#clock.monotonic() + afterMilliseconds, run });
    }

    #runDueTasks(now: number): void {
        const due = this.#tasks.filter(task => task.at <= now);
        this.#tasks = this.#tasks.filter(task => task.at > now);
        for (const task of due.sort((first, second) => first.at - second.at)) {
            task.run();
        }
    }
}
