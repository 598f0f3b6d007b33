/** Numbered events, their catalogue, and the journal that writes them. */
export * from "./catalogue/index.js";
export * from "./eventBuffer.js";
export * from "./formatCatalogue.js";
export * from "./journal.js";
export * from "./lineWriter.js";
export * from "./throttledJournal.js";
