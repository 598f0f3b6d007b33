/**
 * Eight entries with their decisions, and what travels between them: counts by gossip, halts at once, records through
 * the log, each with a delay.
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
const gossipDelay = 1000;
const haltDelay = 500;
const logDelay = 500;
const fence = 1;

/** One entry. */
export interface ExposureEntry {
    readonly name: string;
    readonly evidence: Evidence;
    readonly exposures: Exposures;
    readonly fold: RolloutFold;
    readonly router: RolloutRouter;
    readonly judge: RolloutEvaluator;
    /** Sequence of its counts that the others have been sent. */
    published: number;
}

/** Options of `ExposureSite`. */
export interface ExposureSiteOptions {
    readonly seed: number;
    readonly hash: CallerHash;
    /** Whether entries share what they see and decide. */
    readonly sharing: boolean;
    readonly policy?: Partial<RolloutPolicy>;
}

/** The entries of one run. */
export class ExposureSite {
    readonly clock = new ManualClock(1_800_000_000_000);
    readonly random: RandomSource;
    readonly entries: readonly ExposureEntry[];
    readonly #sharing: boolean;
    readonly #mail: { readonly at: number; readonly deliver: () => void; }[] = [];
    #offset = 0;

    constructor(options: ExposureSiteOptions) {
        this.#sharing = options.sharing;
        this.random = new RandomSource(options.seed);
        this.entries = Array.from(
            { length: entryCount },
            (...[, index]) => this.#createEntry(`entry-${index}`, options),
        );
    }

    /** Appends a record that takes effect everywhere after the log's delay. */
    append(kind: string, body: unknown, delay = logDelay): void {
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
            this.#mail.push({ at: time + delay, deliver });
        }
    }

    /** Starts the roll-out and advances it to a stage at once, or through all of them. */
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
            this.append(rolloutRecordKinds.advance, { rollout: rolloutId, stage: next, fence }, 0);
        }
        if (stage === "finished") {
            this.append(rolloutRecordKinds.finish, { rollout: rolloutId, fence }, 0);
        }
    }

    /** Delivers what has arrived. */
    deliver(): void {
        const now = this.clock.wall();
        const due = this.#mail.filter(({ at }) => at <= now);
        if (due.length === 0) {
            return;
        }
        const later = this.#mail.filter(({ at }) => at > now);
        this.#mail.length = 0;
        this.#mail.push(...later);
        for (const { deliver } of due) {
            deliver();
        }
    }

    /** Sends every entry's counts to the others. */
    gossip(): void {
        if (!this.#sharing) {
            return;
        }
        const at = this.clock.wall() + gossipDelay;
        for (const entry of this.entries) {
            const counts: EvidenceCounts = entry.evidence.exportOwn(entry.published);
            const callers = entry.exposures.exportOwn();
            entry.published = counts.sequence;
            const deliver = () => {
                for (const other of this.entries) {
                    if (other !== entry) {
                        other.evidence.merge(entry.name, counts);
                        other.exposures.merge(entry.name, callers);
                    }
                }
            };
            this.#mail.push({ at, deliver });
        }
    }

    /** Lets every entry judge; the first one holds the lease. */
    judge(): void {
        const names = this.entries.map(({ name }) => name);
        for (const [index, entry] of this.entries.entries()) {
            const rollout = entry.fold.getRollout(rolloutId);
            if (rollout === undefined || entry.fold.isHalted(candidate)) {
                continue;
            }
            const verdict = rollout.state === "active"
                ? entry.judge.evaluate(rolloutId, names, entry.name)
                : entry.judge.evaluateStable(candidate);
            if (verdict.action === "halt") {
                this.#halt(entry, verdict.reason);
            }
            const record = index === 0 ? entry.judge.getRecord(rolloutId, verdict, fence) : undefined;
            if (record !== undefined && this.#sharing) {
                this.append(record.kind, record.body);
            }
        }
    }

    #halt(entry: ExposureEntry, reason: string): void {
        const halt = { id: `${entry.name}/halt`, version: candidate, reason, at: this.clock.wall() };
        entry.fold.addHalt(halt);
        if (this.#sharing) {
            const deliver = () => {
                for (const { fold } of this.entries) {
                    fold.addHalt(halt);
                }
            };
            this.#mail.push({ at: this.clock.wall() + haltDelay, deliver });
        }
    }

    #createEntry(name: string, options: ExposureSiteOptions): ExposureEntry {
        const clock = this.clock;
        const evidence = new Evidence({ clock });
        const exposures = new Exposures();
        const fold = new RolloutFold({ isCurrentFencingToken: given => given === fence });
        const policy = { ...defaultRolloutPolicy, ...options.policy };
        const judge = new RolloutEvaluator({ fold, evidence, exposures, clock, getPolicy: () => policy });
        const isHeld = (): boolean => judge.isHeld(candidate);
        const router = new RolloutRouter({ entry: name, fold, exposures, hash: options.hash, isHeld });
        return { name, evidence, exposures, fold, router, judge, published: 0 };
    }
}
