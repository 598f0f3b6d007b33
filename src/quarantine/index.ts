/** Requests that crash the upstreams that run them. */
export * from "./fingerprint.js";
