/**
 * Shares what an entry knows with the others by gossip: evidence, exposures, halts, leaving upstreams, freshness.
 */
import { z } from "zod";
import { RepeatedTask } from "../common/index.js";
import type { Halt, RolloutFold } from "../control/index.js";
import type { Evidence, EvidenceCounts, ExposureCounts, Exposures, RunnerChooser } from "../decisions/index.js";
import type { Gossip } from "../membership/index.js";
import { freshMilliseconds } from "./freshness.js";

/** Pause between two publications, in milliseconds. */
const publicationPauseMilliseconds = 1000;

const evidenceKey = "evidence";
const exposuresKey = "exposures";
const freshKey = "fresh";
const haltPrefix = "halt/";
const leavingUpstreamPrefix = "upstream-leaving/";

const haltSchema = z.object({ id: z.string(), version: z.string(), reason: z.string(), at: z.number() });

/** What is shared. */
export interface SharedStateOptions {
    readonly gossip: Gossip;
    readonly evidence: Evidence;
    readonly exposures: Exposures;
    readonly rollouts: RolloutFold;
    readonly runners: RunnerChooser;
    /** Milliseconds since this entry confirmed its configuration. */
    readonly getConfigurationAge: () => number;
}

/** Shares state between entries. */
export class SharedState {
    readonly #options: SharedStateOptions;
    readonly #task: RepeatedTask;
    #evidenceSequence = -1;
    #exposuresSequence = -1;
    #publishedFresh: boolean | undefined;

    constructor(options: SharedStateOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({
            run: () => this.#publish(),
            pauseMilliseconds: publicationPauseMilliseconds,
        });
        options.gossip.onUpdate((origin, key, value) => this.#take(origin, key, value));
    }

    /** Starts to publish. */
    start(): void {
        this.#task.start();
    }

    /** Stops publishing. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Tells all entries of a halt, at once.
     * @param halt - The halt.
     */
    spreadHalt(halt: Halt): void {
        this.#set(`${haltPrefix}${halt.id}`, halt, true);
    }

    /**
     * Tells all entries that an upstream is leaving, at once.
     * @param upstream - Identifier of the upstream.
     */
    spreadLeaving(upstream: string): void {
        this.#set(`${leavingUpstreamPrefix}${upstream}`, true, true);
    }

    /**
     * Tells whether another entry says that it has confirmed its configuration lately.
     * @param origin - The entry.
     */
    isOtherFresh(origin: string): boolean {
        return this.#options.gossip.get(origin, freshKey)?.toString() === "true";
    }

    #publish(): void {
        const evidence = this.#options.evidence.exportOwn();
        if (evidence.sequence !== this.#evidenceSequence) {
            this.#evidenceSequence = evidence.sequence;
            this.#set(evidenceKey, evidence, false);
        }
        const exposures = this.#options.exposures.exportOwn();
        if (exposures.sequence !== this.#exposuresSequence) {
            this.#exposuresSequence = exposures.sequence;
            this.#set(exposuresKey, exposures, false);
        }
        const isFresh = this.#options.getConfigurationAge() <= freshMilliseconds;
        if (isFresh !== this.#publishedFresh) {
            this.#publishedFresh = isFresh;
            this.#set(freshKey, isFresh, false);
        }
    }

    #set(key: string, value: unknown, urgent: boolean): void {
        this.#options.gossip.set(key, Buffer.from(JSON.stringify(value)), { urgent });
    }

    #take(origin: string, key: string, value: Buffer | undefined): void {
        if (value === undefined) {
            return;
        }
        if (key === evidenceKey) {
            this.#options.evidence.merge(origin, JSON.parse(value.toString()) as EvidenceCounts);
        }
        else if (key === exposuresKey) {
            this.#options.exposures.merge(origin, JSON.parse(value.toString()) as ExposureCounts);
        }
        else if (key.startsWith(haltPrefix)) {
            this.#takeHalt(value);
        }
        else if (key.startsWith(leavingUpstreamPrefix)) {
            this.#options.runners.markLeaving(key.slice(leavingUpstreamPrefix.length));
        }
    }

    #takeHalt(value: Buffer): void {
        const halt = haltSchema.safeParse(JSON.parse(value.toString()));
        if (halt.success) {
            this.#options.rollouts.addHalt(halt.data);
        }
    }
}
