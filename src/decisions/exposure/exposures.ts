/**
 * Counts how many callers each roll-out has exposed, mergeable over nodes.
 */

/** Counts of one node as they travel; plain JSON. */
export interface ExposureCounts {
    /** Grows with each change; the greater one replaces the smaller one. */
    readonly sequence: number;
    /** For each roll-out, the callers that the node exposed. */
    readonly callers: Readonly<Record<string, number>>;
}

/** Counts exposed callers here and merges the counts of other nodes. */
export class Exposures {
    readonly #own = new Map<string, number>();
    readonly #others = new Map<string, ExposureCounts>();
    #sequence = 0;

    /** Counts a caller that this node exposes. */
    add(rollout: string): void {
        this.#own.set(rollout, this.getOwn(rollout) + 1);
        this.#sequence += 1;
    }

    /** Gets how many callers this node exposed. */
    getOwn(rollout: string): number {
        return this.#own.get(rollout) ?? 0;
    }

    /** Gets how many callers a node exposed, as far as is known here. */
    getForNode(origin: string, rollout: string): number {
        return this.#others.get(origin)?.callers[rollout] ?? 0;
    }

    /** Gets how many callers all nodes exposed, departed ones included, as far as is known here. */
    getTotal(rollout: string): number {
        let total = this.getOwn(rollout);
        for (const counts of this.#others.values()) {
            total += counts.callers[rollout] ?? 0;
        }
        return total;
    }

    /** Drops the counts of a roll-out that has ended. */
    remove(rollout: string): void {
        if (this.#own.delete(rollout)) {
            this.#sequence += 1;
        }
    }

    /** Returns the counts of this node, to be published to the others. */
    exportOwn(): ExposureCounts {
        return { sequence: this.#sequence, callers: Object.fromEntries(this.#own) };
    }

    /** Takes in the counts that another node published; repeats and reordering do no harm. */
    merge(origin: string, counts: ExposureCounts): void {
        const known = this.#others.get(origin);
        if (known === undefined || known.sequence < counts.sequence) {
            this.#others.set(origin, counts);
        }
    }
}
