/**
 * Counts the answers of a distribution that are slow beside another one.
 */
import type { AnswerShare } from "./compareShares.js";
import { countAbove, getQuantileClass, type TimeCounts } from "./timeCounts.js";

/** Share of the usual times up to the class that an answer must exceed to be slow. */
const usualShare = 0.9;
/** Classes between the end of the usual times and that class. */
const slowClassDistance = 1;

export const noAnswers: AnswerShare = { answers: 0, bad: 0 };

/**
 * Counts slow answers: those that take longer than nearly all of the usual ones.
 * @param times - Times of answers.
 * @param waits - Times without an answer until now. A wait that is not slow yet tells nothing: its answer may come at once.
 * @param usualTimes - The distribution of usual times.
 */
export function countSlow(times: TimeCounts, waits: TimeCounts, usualTimes: TimeCounts): AnswerShare {
    const slowClass = getQuantileClass(usualTimes, usualShare) + slowClassDistance;
    const slowWaits = countAbove(waits, slowClass);
    return { answers: countAbove(times, -1) + slowWaits, bad: countAbove(times, slowClass) + slowWaits };
}

export function addShares(first: AnswerShare, second: AnswerShare): AnswerShare {
    return { answers: first.answers + second.answers, bad: first.bad + second.bad };
}
