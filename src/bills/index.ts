/** Bills: replicated to a second VM, appended in batches, and counted once by the ledger. */
export * from "./bill.js";
export * from "./billReplicaStore.js";
export * from "./billWriter.js";
export * from "./ledger.js";
export * from "./ledgerFile.js";
export * from "./ledgerProgram.js";
export * from "./peerBills.js";
