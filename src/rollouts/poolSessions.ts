/**
 * The sessions of a pool at this node, including those that stay on the old version in a roll-out's first step.
 */
import type { Clock } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import { PinnedSessions, type PinReport } from "./pinnedSessions.js";
import { RecentSessions } from "./recentSessions.js";
import type { RolloutOrder } from "./rollout.js";

/** Delay before a failed report is retried, in milliseconds. */
const retryDelayMilliseconds = 1_000;

/** Options of `PoolSessions`. */
export interface PoolSessionsOptions {
    /** Name of this node. */
    readonly self: string;
    readonly clock: Clock;
    /** Maximum time between successive requests of a session. After a longer pause the session counts as new. */
    readonly sessionMilliseconds: number;
    /** Reports to the other nodes what is pinned here. Resolves to whether that succeeded. */
    readonly writePins: (report: PinReport) => Promise<boolean>;
}

/** Returns a session's position among all sessions, from 0 to 1. A roll-out moves sessions in this order. */
export function getSessionRank(order: RolloutOrder, session: string): number {
    return getUnitRank(String(order.id), session);
}

/** Tracks a pool's sessions and pins. */
export class PoolSessions {
    readonly #options: PoolSessionsOptions;
    readonly #recentSessions: RecentSessions;
    readonly #pins: PinnedSessions;
    #hasUnreportedPins = false;
    /** Whether a report is being written. The next one must not overtake it. */
    #isReporting = false;
    #retryAt = Number.NEGATIVE_INFINITY;

    constructor(options: PoolSessionsOptions) {
        this.#options = options;
        this.#recentSessions = new RecentSessions(options.sessionMilliseconds);
        this.#pins = new PinnedSessions(options.self);
    }

    /** Records that a request of a session is sent to a version. */
    startRequest(session: string, version: string): void {
        this.#recentSessions.startRequest(session, version, this.#options.clock.monotonic());
    }

    /** Records that a request of a session has ended. */
    endRequest(session: string): void {
        this.#recentSessions.endRequest(session, this.#options.clock.monotonic());
    }

    /** Sets the pins that a node has reported. */
    setReport(origin: string, report: PinReport): void {
        this.#pins.setReport(origin, report);
    }

    /** Checks whether a session stays on the old version in the first step. */
    isPinned(order: RolloutOrder, sessionRank: number): boolean {
        return this.#pins.has(order.id, sessionRank);
    }

    /** Pins a session that the old version serves here, if the first step would move it. */
    pin(order: RolloutOrder, firstShare: number, session: string): void {
        const rank = getSessionRank(order, session);
        if (rank < firstShare && this.#pins.add(order.id, rank)) {
            this.#hasUnreportedPins = true;
        }
    }

    /** Pins the recent sessions that the old version has served here, as far as the first step would move them. */
    pinServedSessions(order: RolloutOrder, firstShare: number): void {
        for (
            const session of this.#recentSessions.getSessionsOnOtherVersions(
                order.version,
                this.#options.clock.monotonic(),
            )
        ) {
            this.pin(order, firstShare, session);
        }
    }

    /** Reports to the other nodes what is pinned here, if there are unreported pins. */
    async reportPins(order: RolloutOrder): Promise<void> {
        const { clock, writePins } = this.#options;
        if (!this.#hasUnreportedPins || this.#isReporting || clock.monotonic() < this.#retryAt) {
            return;
        }
        this.#hasUnreportedPins = false;
        this.#isReporting = true;
        const hasSucceeded = await writePins(this.#pins.getReport(order.id));
        this.#isReporting = false;
        if (!hasSucceeded) {
            this.#hasUnreportedPins = true;
            this.#retryAt = clock.monotonic() + retryDelayMilliseconds;
        }
    }
}
