/**
 * Folds the records about roll-outs into their present state. Every node folds the same records in the same order and
 * so reaches the same state. Therefore any VM can continue an interrupted roll-out.
 */
import type { LogEntry } from "../log/index.js";
import {
    type Halt,
    haltBody,
    liftBody,
    type Rollout,
    rolloutAbortBody,
    rolloutAdvanceBody,
    type RolloutDecision,
    rolloutFinishBody,
    rolloutGrantBody,
    rolloutRecordKinds,
    type RolloutSnapshot,
    rolloutStartBody,
} from "./rollout.js";
import { RolloutHalts } from "./rolloutHalts.js";
import { StableVersions } from "./stableVersions.js";

/** Maximum number of roll-outs in memory. Beyond it, ended ones are dropped. */
const maxRetainedRollouts = 64;

/** Options of `RolloutFold`. */
export interface RolloutFoldOptions {
    /** Checks whether a fencing token is that of the current lease at this offset of the stream. */
    readonly isCurrentFencingToken: (fencingToken: number) => boolean;
}

/** The state of all roll-outs and halts. */
export class RolloutFold {
    readonly #isCurrentFencingToken: (fencingToken: number) => boolean;
    readonly #rollouts = new Map<string, Rollout>();
    readonly #halts = new RolloutHalts();
    readonly #stableVersions = new StableVersions();
    #offset = -1;

    constructor(options: RolloutFoldOptions) {
        this.#isCurrentFencingToken = options.isCurrentFencingToken;
    }

    /** The offset of the newest applied entry, or -1 before the first. */
    get offset(): number {
        return this.#offset;
    }

    /**
     * Applies the next entry of the `control` stream. Entries of other kinds and entries applied before have no effect.
     * @returns Whether it was accepted. `undefined` for an entry that is not about roll-outs or is not new.
     */
    apply(entry: LogEntry): RolloutDecision | undefined {
        if (entry.offset <= this.#offset) {
            return undefined;
        }
        this.#offset = entry.offset;
        switch (entry.record.kind) {
            case rolloutRecordKinds.start:
                return this.#applyStart(entry);
            case rolloutRecordKinds.grant:
                return this.#applyGrant(entry);
            case rolloutRecordKinds.advance:
                return this.#applyAdvance(entry);
            case rolloutRecordKinds.finish:
                return this.#applyFinish(entry);
            case rolloutRecordKinds.abort:
                return this.#applyAbort(entry);
            case rolloutRecordKinds.halt:
                return this.#applyHalt(entry);
            case rolloutRecordKinds.lift:
                return this.#applyLift(entry);
            default:
                return undefined;
        }
    }

    /**
     * Adds a halt that was received by gossip or raised by this node. It takes effect at once, even without the log.
     * @returns Whether it was new.
     */
    addHalt(halt: Halt): boolean {
        return this.#halts.addFromGossip(halt);
    }

    /** Returns the halts in force, for gossip and for the operator to list in a `lift`. */
    getHalts(): readonly Halt[] {
        return this.#halts.getAll();
    }

    /** Checks whether a version is halted. */
    isHalted(version: string): boolean {
        return this.#halts.has(version);
    }

    /**
     * Returns when an operator last lifted a halt of a version, in wall-clock milliseconds of the log, or `undefined`.
     */
    getLiftedAt(version: string): number | undefined {
        return this.#halts.getLiftedAt(version);
    }

    /** Returns all roll-outs, in the order of their start. */
    getRollouts(): readonly Rollout[] {
        return [...this.#rollouts.values()];
    }

    /** Returns a roll-out, or `undefined`. */
    getRollout(id: string): Rollout | undefined {
        return this.#rollouts.get(id);
    }

    /** Returns the active roll-outs of a model. */
    getActiveRollouts(model: string): readonly Rollout[] {
        return this.getRollouts().filter(rollout => rollout.model === model && rollout.state === "active");
    }

    /** Returns the share of callers that a roll-out exposes now, from 0 to 1. */
    getShare(id: string): number {
        const rollout = this.#rollouts.get(id);
        if (rollout === undefined || this.isHalted(rollout.candidate)) {
            return 0;
        }
        if (rollout.state === "finished") {
            return 1;
        }
        return rollout.state === "active" ? rollout.stages[rollout.stage] : 0;
    }

    /** Returns when a version was last fully rolled out, in wall-clock milliseconds of the log, or `undefined`. */
    getFinishedAt(version: string): number | undefined {
        const finished = this.getRollouts().findLast(({ candidate, state }) =>
            candidate === version && state === "finished"
        );
        return finished?.finishedAt;
    }

    /** Returns the newest version of a model that was fully rolled out and is not halted, or `undefined`. */
    getStableVersion(model: string): string | undefined {
        return this.#stableVersions.get(model).findLast(version => !this.isHalted(version));
    }

    /**
     * Returns the version that takes over the traffic of a halted one: the newest one that became stable before it.
     * @param version - The halted version.
     * @param isAllowed - Checks whether a version may be used. By default any may.
     */
    getFallback(version: string, isAllowed: (version: string) => boolean = () => true): string | undefined {
        const earlierVersions = this.#stableVersions.getBefore(version);
        const stableVersion = earlierVersions.findLast(other => !this.isHalted(other) && isAllowed(other));
        if (stableVersion !== undefined) {
            return stableVersion;
        }
        const rollout = this.getRollouts().findLast(({ candidate }) => candidate === version);
        if (rollout === undefined || rollout.baseline === version) {
            return undefined;
        }
        const isUsable = !this.isHalted(rollout.baseline) && isAllowed(rollout.baseline);
        return isUsable ? rollout.baseline : this.getFallback(rollout.baseline, isAllowed);
    }

    /** Returns the state, for a snapshot or for a node that cannot read the log. */
    exportState(): RolloutSnapshot {
        return {
            offset: this.#offset,
            rollouts: this.getRollouts(),
            halts: this.#halts.getFromLog(),
            lifted: this.#halts.getLifted(),
            liftedAt: this.#halts.getLiftTimes(),
            settled: this.#stableVersions.getAll(),
        };
    }

    /**
     * Imports a snapshot if it is newer. Halts from gossip stay in force unless the snapshot contains a lift.
     * @returns Whether it was newer.
     */
    importState(snapshot: RolloutSnapshot): boolean {
        if (snapshot.offset <= this.#offset) {
            return false;
        }
        this.#offset = snapshot.offset;
        this.#rollouts.clear();
        for (const rollout of snapshot.rollouts) {
            this.#rollouts.set(rollout.id, rollout);
        }
        this.#halts.replaceFromLog(snapshot.halts, snapshot.lifted, snapshot.liftedAt);
        this.#stableVersions.replace(snapshot.settled);
        return true;
    }

    #applyStart(entry: LogEntry): RolloutDecision {
        const parsed = rolloutStartBody.safeParse(entry.record.body);
        if (!parsed.success) {
            return reject("The body is malformed.");
        }
        const { rollout: id, budget, ...body } = parsed.data;
        if (this.#rollouts.has(id)) {
            return reject("A roll-out with this identifier exists.");
        }
        if (body.candidate === body.baseline) {
            return reject("Candidate and baseline are the same version.");
        }
        if (this.#halts.hasInLog(body.candidate)) {
            return reject("The candidate is halted; lift the halt first.");
        }
        if (this.getActiveRollouts(body.model).some(other => other.candidate === body.candidate)) {
            return reject("The candidate is being rolled out already.");
        }
        const budgets = body.stages.map((...[, stage]) => typeof budget === "number" ? budget : budget.at(stage));
        this.#stableVersions.add(body.model, body.baseline);
        this.#rollouts.set(id, {
            ...body,
            id,
            budgets,
            startedAt: entry.time,
            stage: 0,
            stageSince: entry.time,
            state: "active",
            grants: {},
        });
        this.#dropOldRollouts();
        return accept();
    }

    #applyGrant(entry: LogEntry): RolloutDecision {
        const parsed = rolloutGrantBody.safeParse(entry.record.body);
        if (!parsed.success) {
            return reject("The body is malformed.");
        }
        const rollout = this.#getActiveRollout(parsed.data);
        if (typeof rollout === "string") {
            return reject(rollout);
        }
        const grants: Record<string, number> = { ...rollout.grants };
        for (const [name, granted] of Object.entries(parsed.data.grants)) {
            grants[name] = Math.max(granted, grants[name] ?? 0);
        }
        const budget = rollout.budgets[rollout.stage];
        if (budget !== undefined && sum(Object.values(grants)) > budget) {
            return reject("The grants exceed the budget of the stage.");
        }
        this.#rollouts.set(rollout.id, { ...rollout, grants });
        return accept();
    }

    #applyAdvance(entry: LogEntry): RolloutDecision {
        const parsed = rolloutAdvanceBody.safeParse(entry.record.body);
        if (!parsed.success) {
            return reject("The body is malformed.");
        }
        const rollout = this.#getActiveRollout(parsed.data);
        if (typeof rollout === "string") {
            return reject(rollout);
        }
        const { stage } = parsed.data;
        if (stage !== rollout.stage + 1 || stage >= rollout.stages.length) {
            return reject("The stage isn't the next one.");
        }
        this.#rollouts.set(rollout.id, { ...rollout, stage, stageSince: entry.time });
        return accept();
    }

    #applyFinish(entry: LogEntry): RolloutDecision {
        const parsed = rolloutFinishBody.safeParse(entry.record.body);
        if (!parsed.success) {
            return reject("The body is malformed.");
        }
        const rollout = this.#getActiveRollout(parsed.data);
        if (typeof rollout === "string") {
            return reject(rollout);
        }
        if (rollout.stage !== rollout.stages.length - 1) {
            return reject("The roll-out isn't at its last stage.");
        }
        this.#rollouts.set(rollout.id, { ...rollout, state: "finished", finishedAt: entry.time });
        this.#stableVersions.add(rollout.model, rollout.candidate);
        return accept();
    }

    #applyAbort(entry: LogEntry): RolloutDecision {
        const parsed = rolloutAbortBody.safeParse(entry.record.body);
        const rollout = parsed.success ? this.#rollouts.get(parsed.data.rollout) : undefined;
        if (rollout?.state !== "active") {
            return reject("The roll-out isn't active.");
        }
        this.#rollouts.set(rollout.id, { ...rollout, state: "aborted" });
        return accept();
    }

    #applyHalt(entry: LogEntry): RolloutDecision {
        const parsed = haltBody.safeParse(entry.record.body);
        if (!parsed.success) {
            return reject("The body is malformed.");
        }
        const { version, reason } = parsed.data;
        const id = parsed.data.id ?? entry.record.id;
        if (!this.#halts.addFromLog({ id, version, reason, at: entry.time })) {
            return reject("The halt was lifted.");
        }
        for (const rollout of this.#rollouts.values()) {
            if (rollout.candidate === version && rollout.state === "active") {
                this.#rollouts.set(rollout.id, { ...rollout, state: "halted" });
            }
        }
        return accept();
    }

    #applyLift(entry: LogEntry): RolloutDecision {
        const parsed = liftBody.safeParse(entry.record.body);
        if (!parsed.success) {
            return reject("The body is malformed.");
        }
        this.#halts.lift(parsed.data.version, parsed.data.halts, entry.time);
        return accept();
    }

    /** Returns the active roll-out of a record that requires the lease, or the reason for rejecting the record. */
    #getActiveRollout(body: { readonly rollout: string; readonly fence: number; }): Rollout | string {
        // A node that was paused while its lease expired may still write, but its fencing token is no longer the
        // current one. Without this check two holders could each advance the same roll-out.
        if (!this.#isCurrentFencingToken(body.fence)) {
            return "The fence isn't that of the lease in force.";
        }
        const rollout = this.#rollouts.get(body.rollout);
        return rollout?.state === "active" ? rollout : "The roll-out isn't active.";
    }

    #dropOldRollouts(): void {
        for (const rollout of this.getRollouts()) {
            if (this.#rollouts.size <= maxRetainedRollouts) {
                return;
            }
            if (rollout.state !== "active") {
                this.#rollouts.delete(rollout.id);
            }
        }
    }
}

function accept(): RolloutDecision {
    return { accepted: true, reason: "" };
}

function reject(reason: string): RolloutDecision {
    return { accepted: false, reason };
}

function sum(numbers: readonly number[]): number {
    let total = 0;
    for (const number of numbers) {
        total += number;
    }
    return total;
}
