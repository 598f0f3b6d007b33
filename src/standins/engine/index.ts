/** The model engine stand-in. */
export { getAnswerHash, getAnswerQuality } from "./answer.js";
export type { RunJournalEntry as RunNote } from "./engineRun.js";
export type { OrderJournalEntry as OrderNote } from "./loadedVersions.js";
export { ModelEngine } from "./modelEngine.js";
export type { CacheEvent } from "./prefixCache.js";
