/** Stand-in for a model engine. */
export { getAnswerHash, getAnswerQuality } from "./answer.js";
export type { RunJournalEntry } from "./engineRun.js";
export type { OrderJournalEntry } from "./loadedVersions.js";
export { ModelEngine } from "./modelEngine.js";
export type { CacheEvent } from "./prefixCache.js";
