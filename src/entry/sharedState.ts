/**
 * Shares what an entry knows with the others by gossip: evidence, exposures, halts, leaving upstreams, freshness.
 */
import { z } from "zod";
import { RepeatedTask } from "../common/index.js";
import type { Halt, RolloutFold } from "../control/index.js";
import type { Evidence, EvidenceCounts, ExposureCounts, Exposures, RunnerChooser } from "../decisions/index.js";
import type { Gossip } from "../membership/index.js";
import { maxFreshAgeMilliseconds } from "./freshness.js";

/** Pause between two publications, in milliseconds. */
const publishIntervalMilliseconds = 1000;

const evidencePrefix = "evidence/";
const noSequence = -1;
const exposuresKey = "exposures";
const freshKey = "fresh";
const haltPrefix = "halt/";
const leavingUpstreamPrefix = "upstream-leaving/";

const haltSchema = z.object({ id: z.string(), version: z.string(), reason: z.string(), at: z.number() });

/** What is shared. */
export interface SharedStateOptions {
    readonly gossip: Pick<Gossip, "get" | "onUpdate" | "set">;
    readonly evidence: Pick<Evidence, "exportOwn" | "forget" | "merge">;
    readonly exposures: Pick<Exposures, "exportOwn" | "merge">;
    readonly rollouts: Pick<RolloutFold, "addHalt">;
    readonly runners: Pick<RunnerChooser, "markLeaving">;
    /** Tells the runs of an entry apart. */
    readonly getIncarnation: (origin: string) => string | number | undefined;
    /** Milliseconds since this entry confirmed its configuration. */
    readonly getConfigurationAge: () => number;
}

/** Shares state between entries. */
export class SharedState {
    readonly #options: SharedStateOptions;
    readonly #task: RepeatedTask;
    /** By origin: the run whose counts were taken in last. */
    readonly #incarnationKeys = new Map<string, string>();
    #evidenceSequence = 0;
    #exposuresSequence = -1;
    #publishedFresh: boolean | undefined;

    constructor(options: SharedStateOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({
            run: () => this.#publish(),
            pauseMilliseconds: publishIntervalMilliseconds,
        });
        options.gossip.onUpdate((origin, key, value) => this.#handleUpdate(origin, key, value));
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
    broadcastHalt(halt: Halt): void {
        this.#set(`${haltPrefix}${halt.id}`, halt, true);
    }

    /**
     * Tells all entries that an upstream is leaving, at once.
     * @param upstream - Identifier of the upstream.
     */
    broadcastLeaving(upstream: string): void {
        this.#set(`${leavingUpstreamPrefix}${upstream}`, true, true);
    }

    /**
     * Tells whether another entry says that it has confirmed its configuration lately.
     * @param origin - The entry.
     */
    isPeerFresh(origin: string): boolean {
        return this.#options.gossip.get(origin, freshKey)?.toString() === "true";
    }

    #publish(): void {
        this.#forgetPastIncarnations();
        this.#publishEvidence();
        const exposures = this.#options.exposures.exportOwn();
        if (exposures.sequence !== this.#exposuresSequence) {
            this.#exposuresSequence = exposures.sequence;
            this.#set(exposuresKey, exposures, false);
        }
        const isFresh = this.#options.getConfigurationAge() <= maxFreshAgeMilliseconds;
        if (isFresh !== this.#publishedFresh) {
            this.#publishedFresh = isFresh;
            this.#set(freshKey, isFresh, false);
        }
    }

    /**
     * Publishes what changed since the last time, each version's counts in a class under a key of their own: together
     * they may be larger than an exchange carries.
     */
    #publishEvidence(): void {
        const { sequence, series, escalations } = this.#options.evidence.exportOwn(this.#evidenceSequence);
        if (sequence === this.#evidenceSequence) {
            return;
        }
        this.#evidenceSequence = sequence;
        for (const counts of series) {
            // Without a sequence of its own this part leaves the escalations, which it does not hold, as they are.
            const part: EvidenceCounts = { sequence: noSequence, series: [counts], escalations: [] };
            this.#set(`${evidencePrefix}${counts.version}/${counts.requestClass}`, part, false);
        }
        this.#set(`${evidencePrefix}escalations`, { sequence, series: [], escalations }, false);
    }

    #set(key: string, value: unknown, urgent: boolean): void {
        this.#options.gossip.set(key, Buffer.from(JSON.stringify(value)), { urgent });
    }

    #handleUpdate(origin: string, key: string, value: Buffer | undefined): void {
        if (value === undefined) {
            return;
        }
        if (key.startsWith(evidencePrefix)) {
            const counts = JSON.parse(value.toString()) as EvidenceCounts;
            this.#forgetPastIncarnation(origin);
            const incarnationKey = this.#getIncarnationKey(origin);
            this.#incarnationKeys.set(origin, incarnationKey);
            this.#options.evidence.merge(incarnationKey, counts);
        }
        else if (key === exposuresKey) {
            this.#options.exposures.merge(origin, JSON.parse(value.toString()) as ExposureCounts);
        }
        else if (key.startsWith(haltPrefix)) {
            this.#handleHalt(value);
        }
        else if (key.startsWith(leavingUpstreamPrefix)) {
            this.#options.runners.markLeaving(key.slice(leavingUpstreamPrefix.length));
        }
    }

    /** A restarted entry counts from zero, so its runs must not be taken for one another. */
    #getIncarnationKey(origin: string): string {
        return `${origin}/${this.#options.getIncarnation(origin)}`;
    }

    /**
     * Marks the counts of runs that are over, so that they go once they are too old to matter. At a site that replaces
     * its entries every day, memory would otherwise grow by a whole entry's counts with each of them.
     */
    #forgetPastIncarnations(): void {
        for (const origin of this.#incarnationKeys.keys()) {
            this.#forgetPastIncarnation(origin);
        }
    }

    #forgetPastIncarnation(origin: string): void {
        const incarnationKey = this.#incarnationKeys.get(origin);
        if (incarnationKey !== undefined && incarnationKey !== this.#getIncarnationKey(origin)) {
            this.#incarnationKeys.delete(origin);
            this.#options.evidence.forget(incarnationKey);
        }
    }

    #handleHalt(value: Buffer): void {
        const halt = haltSchema.safeParse(JSON.parse(value.toString()));
        if (halt.success) {
            this.#options.rollouts.addHalt(halt.data);
        }
    }
}
