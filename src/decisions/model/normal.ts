/** Functions of the standard normal distribution that the decisions use. */

/**
 * Returns the quantile of the standard normal distribution. It bisects an approximation of the distribution function
 * whose error is below 1.5e-7 (Abramowitz and Stegun 7.1.26).
 * @param probability - Between 0 and 1, both excluded.
 */
export function getNormalQuantile(probability: number): number {
    let low = -8;
    let high = 8;
    for (let step = 0; step < 60; step += 1) {
        const middle = (low + high) / 2;
        if (getNormalProbability(middle) < probability) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return (low + high) / 2;
}

/** Returns the probability that a standard normal variable is at most `value`. */
export function getNormalProbability(value: number): number {
    const x = Math.abs(value) / Math.SQRT2;
    const t = 1 / (1 + 0.3275911 * x);
    const polynomial = ((((1.061405429 * t - 1.453152027) * t + 1.421413741) * t - 0.284496736) * t + 0.254829592) * t;
    const error = 1 - polynomial * Math.exp(-x * x);
    return value < 0 ? (1 - error) / 2 : (1 + error) / 2;
}
