/** A sequential probability ratio test that knows both rates: the least that any test needs. */
import type { RandomSource } from "../../common/index.js";

/**
 * Draws the number of samples until the test says bad.
 * @param good - Rate of bad answers of a good version.
 * @param bad - Rate of bad answers of the bad version, which is the one that is drawn.
 * @param falseAlarmProbability - The test's error for good versions.
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
 * Draws the number of answers until a test that knows the chances of each outcome says bad.
 * @param good - Chance of each outcome with a good version.
 * @param bad - Chance of each outcome with the bad version, which is the one that is drawn.
 * @param falseAlarmProbability - The test's error for good versions.
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
