/** The decisions: which model, which version, which runner, and whether at all. */
export * from "./exposure/index.js";
export * from "./limits/index.js";
export * from "./loading/index.js";
export * from "./model/index.js";
export * from "./placement/index.js";
