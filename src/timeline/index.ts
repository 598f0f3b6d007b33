/** Time lines of events over all processes. */
export * from "./timeLine.js";
export * from "./timeLinePage.js";
