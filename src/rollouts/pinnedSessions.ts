/**
 * The sessions that stay on the old version in a roll-out's first step, as reported by all nodes.
 */

/** A node's report of the sessions that the old version has served there. */
export interface PinReport {
    /** Identifier of the roll-out's order. */
    readonly order: number;
    /** The sessions' ranks in that roll-out, from 0 to 1. */
    readonly ranks: readonly number[];
}

interface PinnedRanks {
    readonly order: number;
    readonly ranks: ReadonlySet<number>;
}

/**
 * Holds a pool's pinned sessions. A session may continue at any node, and a node that has not served it cannot detect
 * by itself whether the session is new. Without the other nodes' reports it would let the new version answer a caller
 * whom the old version has just answered.
 */
export class PinnedSessions {
    readonly #self: string;
    /** By reporting node. */
    readonly #reports = new Map<string, PinnedRanks>();
    #own: PinnedRanks = { order: Number.NaN, ranks: new Set() };

    /** @param self - Name of this node. */
    constructor(self: string) {
        this.#self = self;
    }

    /**
     * Sets a node's latest report.
     * @param origin - The node.
     * @param report - All sessions that it has pinned.
     */
    setReport(origin: string, { order, ranks }: PinReport): void {
        this.#reports.set(origin, { order, ranks: new Set(ranks) });
    }

    /** Checks whether a session is pinned in a roll-out. */
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
     * Pins a session that was served by this node.
     * @returns Whether it was not pinned yet and must be reported to the other nodes.
     */
    add(order: number, rank: number): boolean {
        if (this.has(order, rank)) {
            return false;
        }
        this.#own = { order, ranks: new Set(this.#getOwn(order)).add(rank) };
        return true;
    }

    /** Returns this node's report. It includes what the node reported before it was restarted. */
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
