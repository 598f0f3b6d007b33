/**
 * Times of a run that measures admission.
 */

/** Times of a run, in seconds from its start. */
export const limitsTimes = { measureFrom: 20, brownOutFrom: 50, brownOutTo: 80, end: 140 };
