/**
 * The halts in force. Halts from the log are the same on every node; those from gossip come sooner and also while the
 * log is away. Both only ever add up, until an operator lifts a halt by its identifier.
 */
import type { Halt } from "./rollout.js";

/** Lifted halts that are remembered, so that a late message can't raise them again. */
const maxRetainedLifts = 4096;

/** Holds the halts of one node. */
export class RolloutHalts {
    readonly #fromLog = new Map<string, Halt>();
    readonly #fromGossip = new Map<string, Halt>();
    readonly #lifted = new Set<string>();
    readonly #liftedAt = new Map<string, number>();
    #versions = new Set<string>();

    /**
     * Adds a halt that came by gossip or was raised here.
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

    /** Checks whether a version is halted, by whatever way the halt came. */
    has(version: string): boolean {
        return this.#versions.has(version);
    }

    /** Checks whether a version is halted by the log, which every node agrees on. */
    hasInLog(version: string): boolean {
        for (const halt of this.#fromLog.values()) {
            if (halt.version === version) {
                return true;
            }
        }
        return false;
    }

    /** Gets all halts in force. */
    getAll(): readonly Halt[] {
        return [...this.#fromLog.values(), ...this.#fromGossip.values()];
    }

    /** Gets the halts of the log. */
    getFromLog(): readonly Halt[] {
        return [...this.#fromLog.values()];
    }

    /** Gets the identifiers of lifted halts. */
    getLifted(): readonly string[] {
        return [...this.#lifted];
    }

    /** Gets when a halt of a version was last lifted, or `undefined`. */
    getLiftedAt(version: string): number | undefined {
        return this.#liftedAt.get(version);
    }

    /** Gets, for each version with a lifted halt, when that was. */
    getLiftTimes(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.#liftedAt);
    }

    /** Takes over the halts of a snapshot; halts from gossip stay, unless the snapshot says they were lifted. */
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
