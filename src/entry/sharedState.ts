/**
 * Shares this entry's state with the other entries by gossip: evidence, exposures, halts, leaving upstreams, freshness.
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

/** Options of the shared state. */
export interface SharedStateOptions {
    readonly gossip: Pick<Gossip, "get" | "onUpdate" | "set">;
    readonly evidence: Pick<Evidence, "exportOwn" | "markDeparted" | "merge">;
    readonly exposures: Pick<Exposures, "exportOwn" | "merge">;
    readonly rollouts: Pick<RolloutFold, "addHalt">;
    readonly runners: Pick<RunnerChooser, "markLeaving">;
    /** Returns the incarnation of an entry, which changes with each restart. */
    readonly getIncarnation: (origin: string) => string | number | undefined;
    /** Returns the milliseconds since this entry confirmed its configuration. */
    readonly getConfigurationAge: () => number;
}

/** Shares state between entries. */
export class SharedState {
    readonly #options: SharedStateOptions;
    readonly #task: RepeatedTask;
    /** By origin: the incarnation whose counts were merged last. */
    readonly #incarnationKeys = new Map<string, string>();
    #evidenceSequence = 0;
    #exposuresSequence = -1;
    #publishedFreshness: boolean | undefined;

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
     * Sends a halt to all entries at once.
     * @param halt - The halt.
     */
    broadcastHalt(halt: Halt): void {
        this.#set(`${haltPrefix}${halt.id}`, halt, true);
    }

    /**
     * Announces to all entries at once that an upstream is leaving.
     * @param upstream - Identifier of the upstream.
     */
    broadcastLeaving(upstream: string): void {
        this.#set(`${leavingUpstreamPrefix}${upstream}`, true, true);
    }

    /**
     * Returns whether another entry reports that it confirmed its configuration recently.
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
        if (isFresh !== this.#publishedFreshness) {
            this.#publishedFreshness = isFresh;
            this.#set(freshKey, isFresh, false);
        }
    }

    /**
     * Publishes the evidence that changed since the last publication. The counts of each version and request class have
     * their own key, because all counts together may exceed the size of a gossip exchange.
     */
    #publishEvidence(): void {
        const { sequence, series, escalations } = this.#options.evidence.exportOwn(this.#evidenceSequence);
        if (sequence === this.#evidenceSequence) {
            return;
        }
        this.#evidenceSequence = sequence;
        for (const counts of series) {
            // Without its own sequence, this part leaves the escalations, which it does not contain, unchanged.
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

    /**
     * Returns the key of an entry's incarnation. A restarted entry counts from zero, so the counts of its incarnations
     * must not be mixed.
     */
    #getIncarnationKey(origin: string): string {
        return `${origin}/${this.#options.getIncarnation(origin)}`;
    }

    /**
     * Marks the counts of past incarnations, so that they are removed once they are too old to matter. At a site that
     * replaces its entries every day, memory would otherwise grow by a whole entry's counts with each replacement.
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
            this.#options.evidence.markDeparted(incarnationKey);
        }
    }

    #handleHalt(value: Buffer): void {
        const halt = haltSchema.safeParse(JSON.parse(value.toString()));
        if (halt.success) {
            this.#options.rollouts.addHalt(halt.data);
        }
    }
}
