/**
 * Compares the shares of bad answers of two versions.
 */

/** The answers of one version, and how many of them are bad. */
export interface AnswerShare {
    readonly answers: number;
    readonly bad: number;
}

/** A share that is significantly larger for the new version than for the old one. */
export interface ShareIncrease {
    readonly candidate: number;
    readonly current: number;
}

/** What an increase must reach to count. */
export interface IncreaseBounds {
    /** Minimum number of the new version's bad answers. Fewer may be random or caused by one bad upstream. */
    readonly minBad: number;
    /** Minimum difference of the two shares. */
    readonly minIncrease: number;
    /** Minimum difference of the two shares in standard errors. */
    readonly minStandardErrors: number;
}

/**
 * Prior of the old version: two bad ones in twenty answers are added to its counts. When the new version serves everything there are
 * few answers to compare with, and faults that appear only under full load must still be found.
 */
const priorAnswers = 20;
const priorBad = 2;

/**
 * Returns the increase of the share of bad answers, or undefined if it may be random or does not matter.
 * @param candidate - The new version's answers.
 * @param current - The old version's answers.
 * @param bounds - What counts as an increase.
 */
export function compareShares(
    candidate: AnswerShare,
    current: AnswerShare,
    { minBad, minIncrease, minStandardErrors }: IncreaseBounds,
): ShareIncrease | undefined {
    if (candidate.bad < minBad) {
        return undefined;
    }
    const currentAnswers = current.answers + priorAnswers;
    const candidateShare = candidate.bad / candidate.answers;
    const currentShare = (current.bad + priorBad) / currentAnswers;
    const variance = currentShare * (1 - currentShare);
    const standardError = Math.sqrt(variance * (1 / candidate.answers + 1 / currentAnswers));
    const difference = candidateShare - currentShare;
    if (difference < minIncrease || difference < minStandardErrors * standardError) {
        return undefined;
    }
    return { candidate: candidateShare, current: currentShare };
}
