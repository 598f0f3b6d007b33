/**
 * Linear regression over measured points.
 */

/** A value measured at a size. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A fitted line, with the standard error of its slope. */
export interface Slope {
    readonly intercept: number;
    readonly slope: number;
    readonly standardError: number;
}

/**
 * Fits a line by least squares.
 * @param points - At least three points of different sizes.
 */
export function fitSlope(points: readonly Point[]): Slope {
    const count = points.length;
    let sizeSum = 0;
    let valueSum = 0;
    for (const { size, value } of points) {
        sizeSum += size;
        valueSum += value;
    }
    const sizeMean = sizeSum / count;
    const valueMean = valueSum / count;
    let covariance = 0;
    let variance = 0;
    for (const { size, value } of points) {
        covariance += (size - sizeMean) * (value - valueMean);
        variance += (size - sizeMean) ** 2;
    }
    const slope = covariance / variance;
    const intercept = valueMean - slope * sizeMean;
    let residuals = 0;
    for (const { size, value } of points) {
        residuals += (value - intercept - slope * size) ** 2;
    }
    const standardError = Math.sqrt(residuals / (count - 2) / variance);
    return { intercept, slope, standardError };
}
