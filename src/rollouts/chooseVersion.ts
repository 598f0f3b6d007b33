/**
 * Chooses the version of a pool that serves a session during a roll-out.
 */
import { isFirstStep, type RolloutOrder, type RolloutProgress } from "./rollout.js";

/** The input of a version choice. */
export interface VersionChoiceOptions {
    readonly order: RolloutOrder;
    readonly progress: RolloutProgress | undefined;
    readonly isHalted: boolean;
    /** Rank of the session from 0 to 1, the same on every node. */
    readonly sessionRank: number;
    /** Whether the old version had served the session, at any node, before the first step. */
    readonly isPinned: boolean;
}

/** The version that serves a session. */
export type VersionChoice = "candidate" | "current";

/**
 * Chooses the version for a session. All nodes make the same choice, whether or not they have served the session
 * before. The share only grows and a session's rank never changes, so no session moves back. Pinned sessions stay on
 * the old version during the first step.
 * @param options - The input of the choice.
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
