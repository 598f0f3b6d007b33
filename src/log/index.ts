/** The client of the platform's append-only log. */
export * from "./logAccess.js";
export * from "./logClient.js";
export * from "./logFollower.js";
export * from "./record.js";
export * from "./transport.js";
