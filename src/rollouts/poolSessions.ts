/**
 * The sessions of a pool at this node, and which of them stay on the old version in a roll-out's first step.
 */
import type { Clock } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import { PinnedSessions, type PinReport } from "./pinnedSessions.js";
import { RecentSessions } from "./recentSessions.js";
import type { RolloutOrder } from "./rollout.js";

/** A report that could not be written is not tried again sooner, in milliseconds. */
const retryDelayMilliseconds = 1_000;

/** What a pool's sessions are kept with. */
export interface PoolSessionsOptions {
    /** This node. */
    readonly self: string;
    readonly clock: Clock;
    /** Requests of a session that follow each other within this time belong together. */
    readonly sessionMilliseconds: number;
    /** Tells the other nodes what is pinned here; resolves to whether that has succeeded. */
    readonly writePins: (report: PinReport) => Promise<boolean>;
}

/** Returns a session's place among all, from 0 to 1: a roll-out takes the first ones first. */
export function getSessionRank(order: RolloutOrder, session: string): number {
    return getUnitRank(String(order.id), session);
}

/** Keeps a pool's sessions. */
export class PoolSessions {
    readonly #options: PoolSessionsOptions;
    readonly #recentSessions: RecentSessions;
    readonly #pins: PinnedSessions;
    #hasUnreportedPins = false;
    /** Whether a report is on its way; the next one must not overtake it. */
    #isReporting = false;
    #retryAt = Number.NEGATIVE_INFINITY;

    constructor(options: PoolSessionsOptions) {
        this.#options = options;
        this.#recentSessions = new RecentSessions(options.sessionMilliseconds);
        this.#pins = new PinnedSessions(options.self);
    }

    /** Notes that a request of a session goes to a version. */
    startRequest(session: string, version: string): void {
        this.#recentSessions.startRequest(session, version, this.#options.clock.monotonic());
    }

    /** Notes that a request of a session has ended. */
    endRequest(session: string): void {
        this.#recentSessions.endRequest(session, this.#options.clock.monotonic());
    }

    /** Takes in what is pinned at a node. */
    setReport(origin: string, report: PinReport): void {
        this.#pins.setReport(origin, report);
    }

    /** Tells whether a session stays on the old version in the first step. */
    isPinned(order: RolloutOrder, sessionRank: number): boolean {
        return this.#pins.has(order.id, sessionRank);
    }

    /** Pins a session that the old version serves here, if the first step would take it. */
    pin(order: RolloutOrder, firstShare: number, session: string): void {
        const rank = getSessionRank(order, session);
        if (rank < firstShare && this.#pins.add(order.id, rank)) {
            this.#hasUnreportedPins = true;
        }
    }

    /** Pins the sessions that the old version has served here lately, as far as the first step would take them. */
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

    /** Tells the other nodes what is pinned here, unless they know it already. */
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
