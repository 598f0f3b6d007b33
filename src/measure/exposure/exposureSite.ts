/**
 * Eight simulated entries with their decisions, and the messages between them: counts by gossip, halts by an immediate
 * push, and records through the log. Each has a delay.
 */
import { ManualClock, RandomSource } from "../../common/index.js";
import { RolloutFold, rolloutRecordKinds } from "../../control/index.js";
import {
    type CallerHash,
    defaultRolloutPolicy,
    Exposures,
    RolloutEvaluator,
    type RolloutPolicy,
    RolloutRouter,
} from "../../decisions/exposure/index.js";
import { Evidence, type EvidenceCounts } from "../../decisions/model/index.js";
import type { LogEntry } from "../../log/index.js";

export const entryCount = 8;
export const classes: readonly string[] = ["allergens", "label-drafts", "kitchen-queries"];
export const rolloutId = "rollout-1";
export const candidate = "label@2";
export const baseline = "label@1";
export const stages: readonly number[] = [0.01, 0.05, 0.25, 1];

const budgets: readonly number[] = [60, 400, 4000, 1_000_000];
const gossipDelayMilliseconds = 1000;
const haltDelayMilliseconds = 500;
const logDelayMilliseconds = 500;
const fencingToken = 1;

/** One entry. */
export interface ExposureEntry {
    readonly name: string;
    readonly evidence: Evidence;
    readonly exposures: Exposures;
    readonly fold: RolloutFold;
    readonly router: RolloutRouter;
    readonly evaluator: RolloutEvaluator;
    /** Sequence number up to which its counts have been sent to the other entries. */
    publishedSequence: number;
}

/** Options of `ExposureSite`. */
export interface ExposureSiteOptions {
    readonly seed: number;
    readonly hash: CallerHash;
    /** Whether the entries share their evidence and decisions. */
    readonly sharesState: boolean;
    readonly policy?: Partial<RolloutPolicy>;
}

/** Simulates the entries of one run. */
export class ExposureSite {
    readonly clock = new ManualClock(1_800_000_000_000);
    readonly random: RandomSource;
    readonly entries: readonly ExposureEntry[];
    readonly #sharesState: boolean;
    readonly #pendingDeliveries: { readonly at: number; readonly deliver: () => void; }[] = [];
    #offset = 0;

    constructor(options: ExposureSiteOptions) {
        this.#sharesState = options.sharesState;
        this.random = new RandomSource(options.seed);
        this.entries = Array.from(
            { length: entryCount },
            (...[, index]) => this.#createEntry(`entry-${index}`, options),
        );
    }

    /** Appends a record that takes effect everywhere after the log's delay. */
    append(kind: string, body: unknown, delay = logDelayMilliseconds): void {
        const offset = this.#offset;
        this.#offset += 1;
        const time = this.clock.wall();
        const record = { id: `record-${offset}`, kind, format: 1, writer: "measure", body };
        const entry: LogEntry = { offset, time, record };
        const deliver = () => {
            for (const { fold } of this.entries) {
                fold.apply(entry);
            }
        };
        if (delay === 0) {
            deliver();
        }
        else {
            this.#pendingDeliveries.push({ at: time + delay, deliver });
        }
    }

    /** Starts the roll-out and advances it at once to a stage, or through all stages to its end. */
    startRollout(stage: number | "finished"): void {
        const body = {
            rollout: rolloutId,
            model: "label",
            candidate,
            baseline,
            stages,
            budget: budgets,
            startedBy: "operator",
        };
        this.append(rolloutRecordKinds.start, body, 0);
        const last = stage === "finished" ? stages.length - 1 : stage;
        for (let next = 1; next <= last; next += 1) {
            this.append(rolloutRecordKinds.advance, { rollout: rolloutId, stage: next, fence: fencingToken }, 0);
        }
        if (stage === "finished") {
            this.append(rolloutRecordKinds.finish, { rollout: rolloutId, fence: fencingToken }, 0);
        }
    }

    /** Delivers all messages that are due. */
    deliver(): void {
        const now = this.clock.wall();
        const due = this.#pendingDeliveries.filter(({ at }) => at <= now);
        if (due.length === 0) {
            return;
        }
        const later = this.#pendingDeliveries.filter(({ at }) => at > now);
        this.#pendingDeliveries.length = 0;
        this.#pendingDeliveries.push(...later);
        for (const { deliver } of due) {
            deliver();
        }
    }

    /** Sends every entry's counts to the others. */
    gossip(): void {
        if (!this.#sharesState) {
            return;
        }
        const at = this.clock.wall() + gossipDelayMilliseconds;
        for (const entry of this.entries) {
            const counts: EvidenceCounts = entry.evidence.exportOwn(entry.publishedSequence);
            const callers = entry.exposures.exportOwn();
            entry.publishedSequence = counts.sequence;
            const deliver = () => {
                for (const other of this.entries) {
                    if (other !== entry) {
                        other.evidence.merge(entry.name, counts);
                        other.exposures.merge(entry.name, callers);
                    }
                }
            };
            this.#pendingDeliveries.push({ at, deliver });
        }
    }

    /** Evaluates the roll-out at every entry. The first entry holds the lease and writes the records. */
    evaluate(): void {
        const names = this.entries.map(({ name }) => name);
        for (const [index, entry] of this.entries.entries()) {
            const rollout = entry.fold.getRollout(rolloutId);
            if (rollout === undefined || entry.fold.isHalted(candidate)) {
                continue;
            }
            const decision = rollout.state === "active"
                ? entry.evaluator.evaluate(rolloutId, names, entry.name)
                : entry.evaluator.evaluateStable(candidate);
            if (decision.action === "halt") {
                this.#halt(entry, decision.reason);
            }
            const record = index === 0 ? entry.evaluator.getRecord(rolloutId, decision, fencingToken) : undefined;
            if (record !== undefined && this.#sharesState) {
                this.append(record.kind, record.body);
            }
        }
    }

    #halt(entry: ExposureEntry, reason: string): void {
        const halt = { id: `${entry.name}/halt`, version: candidate, reason, at: this.clock.wall() };
        entry.fold.addHalt(halt);
        if (this.#sharesState) {
            const deliver = () => {
                for (const { fold } of this.entries) {
                    fold.addHalt(halt);
                }
            };
            this.#pendingDeliveries.push({ at: this.clock.wall() + haltDelayMilliseconds, deliver });
        }
    }

    #createEntry(name: string, options: ExposureSiteOptions): ExposureEntry {
        const clock = this.clock;
        const evidence = new Evidence({ clock });
        const exposures = new Exposures();
        const fold = new RolloutFold({ isCurrentFencingToken: given => given === fencingToken });
        const policy = { ...defaultRolloutPolicy, ...options.policy };
        const evaluator = new RolloutEvaluator({ fold, evidence, exposures, clock, getPolicy: () => policy });
        const isHeld = (): boolean => evaluator.isHeld(candidate);
        const router = new RolloutRouter({ entry: name, fold, exposures, hash: options.hash, isHeld });
        return { name, evidence, exposures, fold, router, evaluator, publishedSequence: 0 };
    }
}
