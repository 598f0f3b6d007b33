/**
 * What the replays of roll-outs have in common: the users' bounds and the answers of runners.
 */

export const pool = "app";
/** The users' bounds: requests beside the share, and time after the 50th bad answer. */
export const exposureExtra = 30;
export const rollbackMilliseconds = 5_000;
export const maxBadAnswers = 50;
/** Median time to the head and pause between two parts at an idle runner, and what a full one adds, as shares of them. */
export const headMilliseconds = 90;
export const pauseMilliseconds = 25;
export const fullHeadIncrease = 8;
export const fullPauseIncrease = 3;
/** Pauses after which the usual pause of a stream is known, and the least number at its end. */
export const samplePauses = 16;
export const minSamplePauses = 6;
