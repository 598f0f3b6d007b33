/** A sequential probability ratio test with both rates known: a lower bound on the samples that any test needs. */
import type { RandomSource } from "../../common/index.js";

/**
 * Draws the number of samples until the test classifies the version as bad.
 * @param good - Rate of bad answers of a good version.
 * @param bad - Rate of bad answers of the bad version, from which the samples are drawn.
 * @param falseAlarmProbability - The probability that the test classifies a good version as bad.
 */
export function drawSampleCount(
    good: number,
    bad: number,
    falseAlarmProbability: number,
    random: RandomSource,
): number {
    return drawAnswerCount([good, 1 - good], [bad, 1 - bad], falseAlarmProbability, random);
}

/**
 * Draws the number of answers until a test that knows the probability of each outcome classifies the version as bad.
 * @param good - Probability of each outcome with a good version.
 * @param bad - Probability of each outcome with the bad version, from which the outcomes are drawn.
 * @param falseAlarmProbability - The probability that the test classifies a good version as bad.
 */
export function drawAnswerCount(
    good: readonly number[],
    bad: readonly number[],
    falseAlarmProbability: number,
    random: RandomSource,
): number {
    const threshold = Math.log(1 / falseAlarmProbability);
    let logRatio = 0;
    let answers = 0;
    while (logRatio < threshold) {
        answers += 1;
        const outcome = drawOutcome(bad, random);
        logRatio += Math.log(bad[outcome] / good[outcome]);
    }
    return answers;
}

function drawOutcome(chances: readonly number[], random: RandomSource): number {
    let point = random.next();
    for (const [outcome, chance] of chances.entries()) {
        point -= chance;
        if (point < 0) {
            return outcome;
        }
    }
    return chances.length - 1;
}
