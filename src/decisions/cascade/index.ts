/** Model cascade: which model answers first, and whether its answer is escalated. */
export * from "./confidenceCascade.js";
