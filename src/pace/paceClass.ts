/**
 * Classes of paces, whose changes are logged and told to other nodes at once.
 */

/** Whether an upstream takes clearly more or less time than its pool. */
export type PaceClass = "slow" | "usual" | "fast";

/** Paces from which an upstream counts as slow, and up to which it counts as fast. */
const slowPace = 1.25;
const fastPace = 0.8;
/** Ratio by which a pace has to return over a bound before the upstream leaves its class. */
const hysteresis = 1.1;

/**
 * Classifies a pace.
 * @param pace - Time relative to the pool.
 * @param known - The class so far, which an upstream leaves only when its pace is clearly outside.
 */
export function classifyPace(pace: number, known: PaceClass = "usual"): PaceClass {
    if (pace >= (known === "slow" ? slowPace / hysteresis : slowPace)) {
        return "slow";
    }
    return pace <= (known === "fast" ? fastPace * hysteresis : fastPace) ? "fast" : "usual";
}
