/** Which model answers, and whether its answer is good enough. */
export * from "./confidenceCascade.js";
