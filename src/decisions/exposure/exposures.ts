/**
 * Counts how many callers each roll-out has exposed. The counts of all nodes can be merged.
 */

/** Counts of one node as they are sent to other nodes, as plain JSON. */
export interface ExposureCounts {
    /** Increases with each change. Counts with a greater sequence replace those with a smaller one. */
    readonly sequence: number;
    /** The number of callers that the node exposed, by roll-out. */
    readonly callers: Readonly<Record<string, number>>;
}

/** Counts exposed callers of this node and merges the counts of other nodes. */
export class Exposures {
    readonly #own = new Map<string, number>();
    readonly #others = new Map<string, ExposureCounts>();
    #sequence = 0;

    /** Counts a caller that this node exposes. */
    add(rollout: string): void {
        this.#own.set(rollout, this.getOwn(rollout) + 1);
        this.#sequence += 1;
    }

    /** Returns how many callers this node has exposed. */
    getOwn(rollout: string): number {
        return this.#own.get(rollout) ?? 0;
    }

    /** Returns how many callers another node has exposed, according to its last received counts. */
    getForNode(origin: string, rollout: string): number {
        return this.#others.get(origin)?.callers[rollout] ?? 0;
    }

    /**
     * Returns how many callers all nodes have exposed, including departed ones, according to the last received counts.
     */
    getTotal(rollout: string): number {
        let total = this.getOwn(rollout);
        for (const counts of this.#others.values()) {
            total += counts.callers[rollout] ?? 0;
        }
        return total;
    }

    /** Removes the counts of a roll-out that has ended. */
    remove(rollout: string): void {
        if (this.#own.delete(rollout)) {
            this.#sequence += 1;
        }
    }

    /** Returns the counts of this node for publication to other nodes. */
    exportOwn(): ExposureCounts {
        return { sequence: this.#sequence, callers: Object.fromEntries(this.#own) };
    }

    /** Merges counts that another node published. Repeated and reordered messages are harmless. */
    merge(origin: string, counts: ExposureCounts): void {
        const known = this.#others.get(origin);
        if (known === undefined || known.sequence < counts.sequence) {
            this.#others.set(origin, counts);
        }
    }
}
