/**
 * Which of a pool's versions serves a session while a roll-out is under way.
 */
import { isFirstStep, type RolloutOrder, type RolloutProgress } from "./rollout.js";

/** What a choice rests on. */
export interface VersionChoiceOptions {
    readonly order: RolloutOrder;
    readonly progress: RolloutProgress | undefined;
    readonly isHalted: boolean;
    /** From 0 to 1, the same on every node for the same session. */
    readonly sessionRank: number;
    /** Whether the old version had served the session, at any node, when the first step began. */
    readonly isPinned: boolean;
}

/** Which version a session gets. */
export type VersionChoice = "candidate" | "current";

/**
 * Chooses the version for a session. All nodes choose alike, whether or not they have seen the session. The share only grows and a
 * session's rank never changes, so nobody moves back; and while sessions are not to be moved yet, pinned ones stay.
 * @param options - What the choice rests on.
 */
export function chooseVersion(options: VersionChoiceOptions): VersionChoice {
    const { order, progress, isHalted, sessionRank, isPinned } = options;
    if (progress?.order !== order.id || progress.state === "reverted" || isHalted) {
        return "current";
    }
    if (progress.state === "completed" || progress.share === 1) {
        return "candidate";
    }
    if (isPinned && isFirstStep(progress)) {
        return "current";
    }
    return sessionRank < progress.share ? "candidate" : "current";
}
