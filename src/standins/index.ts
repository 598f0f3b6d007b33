/** Stand-ins for the platform's services and the upstreams, for tests and the demo. */
export { type Address, formatAddress, parseAddress } from "./address.js";
export {
    type CacheEvent,
    getAnswerHash,
    getAnswerQuality,
    ModelEngine,
    type OrderJournalEntry,
    type RunJournalEntry,
} from "./engine/index.js";
export { LogService } from "./logService.js";
export { PlainService } from "./plainService.js";
export { FaultProxy, type RouteFaults } from "./proxy/index.js";
export { RatingService } from "./ratingService.js";
export { createStandin, type Standin } from "./standin.js";
export { VmList } from "./vmList.js";
export { WeightStore } from "./weightStore.js";
