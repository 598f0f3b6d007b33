/**
 * Advances roll-outs, and halts versions that became worse.
 *
 * Every entry evaluates every roll-out from the merged evidence and may halt a version, even while the log is
 * unavailable. Only the holder of the roll-out lease advances, grants and finishes. An entry that was paused therefore
 * cannot widen a roll-out that another entry has narrowed meanwhile: its fencing token is outdated, and the fold
 * rejects its record.
 */
import { randomUUID } from "node:crypto";
import { type Clock, RepeatedTask } from "../common/index.js";
import { type Halt, type LeaseHolder, type Rollout, type RolloutFold, rolloutRecordKinds } from "../control/index.js";
import type { RolloutEvaluation, RolloutEvaluator } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { LogRecord } from "../log/index.js";

/** Pause between two evaluations, in milliseconds. */
const evaluationIntervalMilliseconds = 1000;
/** Format of the records that the driver writes. */
const recordFormat = 1;

/** Options of a driver. */
export interface RolloutDriverOptions {
    /** Name of this entry. */
    readonly entry: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly rollouts: RolloutFold;
    readonly evaluator: RolloutEvaluator;
    readonly lease: LeaseHolder;
    /** Returns the identifiers of the entries that serve callers. */
    readonly getEntries: () => readonly string[];
    /** Returns the stable versions, which are monitored for a change to the worse. */
    readonly getStableVersions: () => readonly string[];
    /** Appends a record to the control stream. Returns false if the log did not accept it. */
    readonly append: (record: LogRecord) => Promise<boolean>;
    /** Sends a halt to all peers at once. */
    readonly broadcastHalt: (halt: Halt) => void;
    /** Returns whether a version is loaded on enough runners to serve callers. */
    readonly isLoaded: (version: string) => boolean;
}

/** Drives roll-outs. */
export class RolloutDriver {
    readonly #options: RolloutDriverOptions;
    readonly #task: RepeatedTask;
    /** Halts of this entry that the log has not accepted yet. */
    readonly #unappendedHalts = new Map<string, Halt>();
    /** Roll-outs that this entry drives and whose candidate is not loaded yet. */
    readonly #waitingRollouts = new Set<string>();

    constructor(options: RolloutDriverOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({
            run: () => this.#evaluateAll(),
            pauseMilliseconds: evaluationIntervalMilliseconds,
        });
    }

    /** Starts to evaluate roll-outs and stable versions. */
    start(): void {
        this.#task.start();
    }

    /** Stops evaluating. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /** Returns the roll-outs that wait for their candidate to be loaded; empty unless this entry holds the lease. */
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
     * Returns whether a roll-out has to wait until its candidate is loaded. Callers that are routed to a version that
     * no runner has loaded would be refused, and these failures would count against the candidate.
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

    /** Writes halts to the log as soon as it accepts them, so that nodes that start later also receive them. */
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
