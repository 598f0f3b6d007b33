/** The client of the platform's append-only log. */
export * from "./record.js";
