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
const evaluationIntervalMilliseconds = 1000;
/** Format of the records that the driver writes. */
const recordFormat = 1;

/** What a driver works with. */
export interface RolloutDriverOptions {
    /** Name of this entry. */
    readonly entry: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly rollouts: RolloutFold;
    readonly evaluator: RolloutEvaluator;
    readonly lease: LeaseHolder;
    /** Identifiers of the entries that take callers. */
    readonly getEntries: () => readonly string[];
    /** Versions that serve, to be watched for a change to the worse. */
    readonly getStableVersions: () => readonly string[];
    /** Appends a record to the control stream; false when the log did not take it. */
    readonly append: (record: LogRecord) => Promise<boolean>;
    /** Tells all peers at once. */
    readonly broadcastHalt: (halt: Halt) => void;
    /** Tells whether a version is loaded on enough runners to take callers. */
    readonly isLoaded: (version: string) => boolean;
}

/** Drives roll-outs. */
export class RolloutDriver {
    readonly #options: RolloutDriverOptions;
    readonly #task: RepeatedTask;
    /** Halts raised here that the log has not taken yet. */
    readonly #unappendedHalts = new Map<string, Halt>();
    /** Roll-outs whose candidate is not loaded yet, as far as this entry drives them. */
    readonly #waitingRollouts = new Set<string>();

    constructor(options: RolloutDriverOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({
            run: () => this.#evaluateAll(),
            pauseMilliseconds: evaluationIntervalMilliseconds,
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
    getWaitingRollouts(): readonly string[] {
        const { lease, rollouts } = this.#options;
        if (lease.getFencingToken() === undefined) {
            return [];
        }
        return [...this.#waitingRollouts].filter(id => rollouts.getRollout(id)?.state === "active");
    }

    async #evaluateAll(): Promise<void> {
        for (const rollout of this.#options.rollouts.getRollouts()) {
            if (rollout.state === "active") {
                await this.#evaluateRollout(rollout);
            }
        }
        for (const version of this.#options.getStableVersions()) {
            if (!this.#options.rollouts.isHalted(version)) {
                this.#evaluateStable(version);
            }
        }
        await this.#writeHalts();
    }

    async #evaluateRollout(rollout: Rollout): Promise<void> {
        const { evaluator, entry, lease } = this.#options;
        const decision = evaluator.evaluate(rollout.id, this.#options.getEntries(), entry);
        this.#applyDecision(rollout, decision);
        const fencingToken = lease.getFencingToken();
        if (fencingToken === undefined || this.#isWaiting(rollout)) {
            return;
        }
        const record = evaluator.getRecord(rollout.id, decision, fencingToken);
        if (record === undefined || decision.action === "halt") {
            return;
        }
        const appended = await this.#options.append(this.#createRecord(record.kind, record.body));
        if (appended) {
            this.#options.journal.write(events.rolloutMoved, {
                rollout: rollout.id,
                action: decision.action,
                reason: decision.reason,
                fence: fencingToken,
            });
        }
    }

    #evaluateStable(version: string): void {
        const { evaluator, journal } = this.#options;
        const wasHeld = evaluator.isHeld(version);
        const decision = evaluator.evaluateStable(version);
        const isHeld = evaluator.isHeld(version);
        if (isHeld !== wasHeld) {
            journal.write(isHeld ? events.versionHeld : events.versionReleased, { version, reason: decision.reason });
        }
        this.#applyDecision(undefined, decision);
    }

    /**
     * Tells whether a roll-out has to wait for its candidate to be loaded. Callers who are let through to a version that
     * no runner has would be refused, and their failures would count against the candidate.
     */
    #isWaiting(rollout: Rollout): boolean {
        if (this.#options.isLoaded(rollout.candidate)) {
            this.#waitingRollouts.delete(rollout.id);
            return false;
        }
        if (!this.#waitingRollouts.has(rollout.id)) {
            this.#waitingRollouts.add(rollout.id);
            const { id, candidate } = rollout;
            this.#options.journal.write(events.rolloutWaits, { rollout: id, version: candidate });
        }
        return true;
    }

    #applyDecision(rollout: Rollout | undefined, decision: RolloutEvaluation): void {
        if (decision.action !== "halt") {
            return;
        }
        const { rollouts, journal, clock } = this.#options;
        const halt: Halt = { id: randomUUID(), version: decision.version, reason: decision.reason, at: clock.wall() };
        if (!rollouts.addHalt(halt)) {
            return;
        }
        journal.write(events.versionHalted, {
            rollout: rollout?.id,
            version: halt.version,
            reason: halt.reason,
        });
        this.#options.broadcastHalt(halt);
        this.#unappendedHalts.set(halt.id, halt);
    }

    /** Writes halts into the log as soon as it takes them, so that nodes which start later know of them too. */
    async #writeHalts(): Promise<void> {
        for (const halt of this.#unappendedHalts.values()) {
            const record = this.#createRecord(rolloutRecordKinds.halt, { ...halt, evidence: undefined });
            if (!await this.#options.append(record)) {
                return;
            }
            this.#unappendedHalts.delete(halt.id);
        }
    }

    #createRecord(kind: string, body: unknown): LogRecord {
        return { id: randomUUID(), kind, format: recordFormat, writer: this.#options.entry, body };
    }
}
