/**
 * The halts in force. Halts from the log are the same on every node. Those from gossip arrive sooner, and also while
 * the log is unavailable. Both only accumulate until an operator lifts a halt by its identifier.
 */
import type { Halt } from "./rollout.js";

/** Maximum number of lifted halts in memory. They prevent a late message from raising a lifted halt again. */
const maxRetainedLifts = 4096;

/** Holds the halts of one node. */
export class RolloutHalts {
    readonly #fromLog = new Map<string, Halt>();
    readonly #fromGossip = new Map<string, Halt>();
    readonly #lifted = new Set<string>();
    readonly #liftedAt = new Map<string, number>();
    #versions = new Set<string>();

    /**
     * Adds a halt that was received by gossip or raised by this node.
     * @returns Whether it was new.
     */
    addFromGossip(halt: Halt): boolean {
        if (this.#lifted.has(halt.id) || this.#fromLog.has(halt.id) || this.#fromGossip.has(halt.id)) {
            return false;
        }
        this.#fromGossip.set(halt.id, halt);
        this.#versions.add(halt.version);
        return true;
    }

    /**
     * Adds a halt of the log.
     * @returns Whether it is in force.
     */
    addFromLog(halt: Halt): boolean {
        if (this.#lifted.has(halt.id)) {
            return false;
        }
        this.#fromGossip.delete(halt.id);
        this.#fromLog.set(halt.id, halt);
        this.#versions.add(halt.version);
        return true;
    }

    /**
     * Lifts halts.
     * @param version - The version that the operator names.
     * @param ids - The halts that the operator has seen.
     * @param at - Wall-clock milliseconds of the log.
     */
    lift(version: string, ids: readonly string[], at: number): void {
        for (const id of ids) {
            this.#lifted.add(id);
            this.#fromLog.delete(id);
            this.#fromGossip.delete(id);
        }
        this.#liftedAt.set(version, at);
        this.#trimLifted();
        this.#collectVersions();
    }

    /** Checks whether a version is halted, through the log or by gossip. */
    has(version: string): boolean {
        return this.#versions.has(version);
    }

    /** Checks whether a version is halted in the log. All nodes agree on that. */
    hasInLog(version: string): boolean {
        for (const halt of this.#fromLog.values()) {
            if (halt.version === version) {
                return true;
            }
        }
        return false;
    }

    /** Returns all halts in force. */
    getAll(): readonly Halt[] {
        return [...this.#fromLog.values(), ...this.#fromGossip.values()];
    }

    /** Returns the halts of the log. */
    getFromLog(): readonly Halt[] {
        return [...this.#fromLog.values()];
    }

    /** Returns the identifiers of lifted halts. */
    getLifted(): readonly string[] {
        return [...this.#lifted];
    }

    /** Returns when a halt of a version was last lifted, or `undefined`. */
    getLiftedAt(version: string): number | undefined {
        return this.#liftedAt.get(version);
    }

    /** Returns the time of the last lift for each version with a lifted halt. */
    getLiftTimes(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.#liftedAt);
    }

    /**
     * Replaces the halts of the log by those of a snapshot. Halts from gossip stay unless the snapshot contains a lift.
     */
    replaceFromLog(
        halts: readonly Halt[],
        lifted: readonly string[],
        liftTimes: Readonly<Record<string, number>>,
    ): void {
        this.#fromLog.clear();
        for (const id of lifted) {
            this.#lifted.add(id);
            this.#fromGossip.delete(id);
        }
        for (const [version, at] of Object.entries(liftTimes)) {
            this.#liftedAt.set(version, at);
        }
        for (const halt of halts) {
            this.addFromLog(halt);
        }
        this.#collectVersions();
    }

    #collectVersions(): void {
        this.#versions = new Set(this.getAll().map(halt => halt.version));
    }

    #trimLifted(): void {
        for (const id of this.#lifted) {
            if (this.#lifted.size <= maxRetainedLifts) {
                return;
            }
            this.#lifted.delete(id);
        }
    }
}
