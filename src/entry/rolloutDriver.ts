/**
 * Carries roll-outs on, and halts versions that turned bad.
 *
 * Every entry judges every roll-out from the merged evidence and may halt, log or no log. Advancing, granting and
 * finishing are left to the holder of the roll-out lease, so an entry that was paused cannot widen a roll-out that
 * another one has narrowed meanwhile: its fence is old, and the fold refuses its record.
 */
import { randomUUID } from "node:crypto";
import { type Clock, RepeatedTask } from "../common/index.js";
import { type Halt, type LeaseHolder, type Rollout, type RolloutFold, rolloutRecordKinds } from "../control/index.js";
import type { RolloutEvaluation, RolloutEvaluator } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { LogRecord } from "../log/index.js";

/** Pause between two judgements, in milliseconds. */
const judgementPauseMilliseconds = 1000;
/** Format of the records that the driver writes. */
const recordFormat = 1;

/** What a driver works with. */
export interface RolloutDriverOptions {
    /** Name of this entry. */
    readonly entry: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly rollouts: RolloutFold;
    readonly judge: RolloutEvaluator;
    readonly lease: LeaseHolder;
    /** Identifiers of the entries that take callers. */
    readonly getEntries: () => readonly string[];
    /** Versions that serve, to be watched for a change to the worse. */
    readonly getSettledVersions: () => readonly string[];
    /** Appends a record to the control stream; false when the log did not take it. */
    readonly append: (record: LogRecord) => Promise<boolean>;
    /** Tells all peers at once. */
    readonly spreadHalt: (halt: Halt) => void;
    /** Tells whether a version is loaded on enough runners to take callers. */
    readonly isLoaded: (version: string) => boolean;
}

/** Drives roll-outs. */
export class RolloutDriver {
    readonly #options: RolloutDriverOptions;
    readonly #task: RepeatedTask;
    /** Halts raised here that the log has not taken yet. */
    readonly #unwritten = new Map<string, Halt>();
    /** Roll-outs whose candidate is not loaded yet, as far as this entry drives them. */
    readonly #waiting = new Set<string>();

    constructor(options: RolloutDriverOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({
            run: () => this.#judgeAll(),
            pauseMilliseconds: judgementPauseMilliseconds,
        });
    }

    /** Starts to judge. */
    start(): void {
        this.#task.start();
    }

    /** Stops judging. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /** Returns the roll-outs that this entry, as holder of the lease, holds back until their candidate is loaded. */
    getWaiting(): readonly string[] {
        const { lease, rollouts } = this.#options;
        if (lease.getFencingToken() === undefined) {
            return [];
        }
        return [...this.#waiting].filter(id => rollouts.getRollout(id)?.state === "active");
    }

    async #judgeAll(): Promise<void> {
        for (const rollout of this.#options.rollouts.getRollouts()) {
            if (rollout.state === "active") {
                await this.#judgeRollout(rollout);
            }
        }
        for (const version of this.#options.getSettledVersions()) {
            if (!this.#options.rollouts.isHalted(version)) {
                this.#judgeSettled(version);
            }
        }
        await this.#writeHalts();
    }

    async #judgeRollout(rollout: Rollout): Promise<void> {
        const { judge, entry, lease } = this.#options;
        const verdict = judge.evaluate(rollout.id, this.#options.getEntries(), entry);
        this.#act(rollout, verdict);
        const fence = lease.getFencingToken();
        if (fence === undefined || this.#isWaiting(rollout)) {
            return;
        }
        const record = judge.getRecord(rollout.id, verdict, fence);
        if (record === undefined || verdict.action === "halt") {
            return;
        }
        const appended = await this.#options.append(this.#createRecord(record.kind, record.body));
        if (appended) {
            this.#options.journal.write(events.rolloutMoved, {
                rollout: rollout.id,
                action: verdict.action,
                reason: verdict.reason,
                fence,
            });
        }
    }

    #judgeSettled(version: string): void {
        const { judge, journal } = this.#options;
        const wasHeld = judge.isHeld(version);
        const verdict = judge.evaluateStable(version);
        const isHeld = judge.isHeld(version);
        if (isHeld !== wasHeld) {
            journal.write(isHeld ? events.versionHeld : events.versionReleased, { version, reason: verdict.reason });
        }
        this.#act(undefined, verdict);
    }

    /**
     * Tells whether a roll-out has to wait for its candidate to be loaded. Callers who are let through to a version that
     * no runner has would be refused, and their failures would count against the candidate.
     */
    #isWaiting(rollout: Rollout): boolean {
        if (this.#options.isLoaded(rollout.candidate)) {
            this.#waiting.delete(rollout.id);
            return false;
        }
        if (!this.#waiting.has(rollout.id)) {
            this.#waiting.add(rollout.id);
            const { id, candidate } = rollout;
            this.#options.journal.write(events.rolloutWaits, { rollout: id, version: candidate });
        }
        return true;
    }

    #act(rollout: Rollout | undefined, verdict: RolloutEvaluation): void {
        if (verdict.action !== "halt") {
            return;
        }
        const { rollouts, journal, clock } = this.#options;
        const halt: Halt = { id: randomUUID(), version: verdict.version, reason: verdict.reason, at: clock.wall() };
        if (!rollouts.addHalt(halt)) {
            return;
        }
        journal.write(events.versionHalted, {
            rollout: rollout?.id,
            version: halt.version,
            reason: halt.reason,
        });
        this.#options.spreadHalt(halt);
        this.#unwritten.set(halt.id, halt);
    }

    /** Writes halts into the log as soon as it takes them, so that nodes which start later know of them too. */
    async #writeHalts(): Promise<void> {
        for (const halt of this.#unwritten.values()) {
            const record = this.#createRecord(rolloutRecordKinds.halt, { ...halt, evidence: undefined });
            if (!await this.#options.append(record)) {
                return;
            }
            this.#unwritten.delete(halt.id);
        }
    }

    #createRecord(kind: string, body: unknown): LogRecord {
        return { id: randomUUID(), kind, format: recordFormat, writer: this.#options.entry, body };
    }
}
