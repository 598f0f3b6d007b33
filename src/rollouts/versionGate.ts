/**
 * Which of a pool's versions serves a session while a roll-out is under way.
 */
import type { RolloutOrder, RolloutProgress } from "./rollout.js";

/** Sessions that are remembered, at most. */
const mostSessions = 20_000;

/** What a choice rests on. */
export interface GateOptions {
    readonly order: RolloutOrder;
    readonly progress: RolloutProgress | undefined;
    readonly isHalted: boolean;
    /** From 0 to 1, the same on every node for the same session. */
    readonly sessionRank: number;
    /** The version that served the session's last request here, if that is not long ago. */
    readonly lastVersion: string | undefined;
}

/** Which version a session gets. */
export type VersionChoice = "candidate" | "current";

/**
 * Chooses the version for a session. The share only grows and a session's rank never changes, so nobody moves back; and
 * while sessions are not to be moved yet, one that was seen on the old version stays there.
 * @param options - What the choice rests on.
 */
export function chooseVersion(options: GateOptions): VersionChoice {
    const { order, progress, isHalted, sessionRank, lastVersion } = options;
    if (progress?.order !== order.id || progress.state === "reverted" || isHalted) {
        return "current";
    }
    if (progress.state === "completed" || progress.share === 1) {
        return "candidate";
    }
    if (lastVersion === order.version) {
        return "candidate";
    }
    const isFirstStep = progress.share < firstMovingShare;
    if (isFirstStep && lastVersion !== undefined) {
        return "current";
    }
    return sessionRank < progress.share ? "candidate" : "current";
}

/** From this share on sessions that began on the old version are moved. */
const firstMovingShare = 0.3;

/** Remembers for a while which version served a session. */
export class SessionMemory {
    readonly #keepMilliseconds: number;
    readonly #sessions = new Map<string, { readonly version: string; readonly at: number; }>();

    /** @param keepMilliseconds - How long. */
    constructor(keepMilliseconds: number) {
        this.#keepMilliseconds = keepMilliseconds;
    }

    /** Notes which version serves a session. */
    set(session: string, version: string, now: number): void {
        this.#sessions.delete(session);
        this.#sessions.set(session, { version, at: now });
        for (const [oldest, { at }] of this.#sessions) {
            if (this.#sessions.size <= mostSessions && now - at < this.#keepMilliseconds) {
                return;
            }
            this.#sessions.delete(oldest);
        }
    }

    /** Returns the version that served a session lately. */
    get(session: string, now: number): string | undefined {
        const known = this.#sessions.get(session);
        return known === undefined || now - known.at > this.#keepMilliseconds ? undefined : known.version;
    }
}
