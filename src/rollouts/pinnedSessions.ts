/**
 * The sessions that stay on the old version in a roll-out's first step, as the nodes tell each other.
 */

/** What a node tells of the sessions that the old version has served there. */
export interface PinReport {
    /** The roll-out's order. */
    readonly order: number;
    /** The sessions' ranks in that roll-out, from 0 to 1. */
    readonly ranks: readonly number[];
}

interface PinnedRanks {
    readonly order: number;
    readonly ranks: ReadonlySet<number>;
}

/**
 * Knows a pool's pinned sessions. A session may go on at any node, and one that has not seen it cannot tell by itself whether it is new:
 * without the others' reports it would have the new version answer a caller whom the old one has just answered.
 */
export class PinnedSessions {
    readonly #self: string;
    /** By the node that reported them. */
    readonly #reports = new Map<string, PinnedRanks>();
    #own: PinnedRanks = { order: Number.NaN, ranks: new Set() };

    /** @param self - This node. */
    constructor(self: string) {
        this.#self = self;
    }

    /**
     * Takes in a node's newest report.
     * @param origin - The node.
     * @param report - All that it has pinned.
     */
    setReport(origin: string, { order, ranks }: PinReport): void {
        this.#reports.set(origin, { order, ranks: new Set(ranks) });
    }

    /** Tells whether a session is pinned in a roll-out. */
    has(order: number, rank: number): boolean {
        if (contains(this.#own, order, rank)) {
            return true;
        }
        for (const report of this.#reports.values()) {
            if (contains(report, order, rank)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Pins a session that was served here.
     * @returns Whether the others do not know it yet.
     */
    add(order: number, rank: number): boolean {
        if (this.has(order, rank)) {
            return false;
        }
        this.#own = { order, ranks: new Set(this.#getOwn(order)).add(rank) };
        return true;
    }

    /** Returns what this node is to report. What it reported before it was started anew stays in the report. */
    getReport(order: number): PinReport {
        return { order, ranks: [...new Set([...this.#getReported(order), ...this.#getOwn(order)])] };
    }

    #getOwn(order: number): Iterable<number> {
        return this.#own.order === order ? this.#own.ranks : [];
    }

    #getReported(order: number): Iterable<number> {
        const report = this.#reports.get(this.#self);
        return report?.order === order ? report.ranks : [];
    }
}

function contains(report: PinnedRanks, order: number, rank: number): boolean {
    return report.order === order && report.ranks.has(rank);
}
