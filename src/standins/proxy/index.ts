/** The fault-injecting proxy. */
export { FaultProxy } from "./faultProxy.js";
export type { ConnectionJournalEntry as ConnectionNote } from "./proxyRoute.js";
export type { RouteFaults } from "./routeFaults.js";
