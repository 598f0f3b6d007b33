/** Decisions about a request: admission, model, version, and runner. */
export * from "./cascade/index.js";
export * from "./dispatch/index.js";
export * from "./exposure/index.js";
export * from "./limits/index.js";
export * from "./loading/index.js";
export * from "./model/index.js";
export * from "./placement/index.js";
export * from "./retries/index.js";
export * from "./room/index.js";
