/** Fault-injecting proxy. */
export { FaultProxy } from "./faultProxy.js";
export type { ConnectionJournalEntry } from "./proxyRoute.js";
export type { RouteFaults } from "./routeFaults.js";
