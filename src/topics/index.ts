/** Topics of the platform's store: reading them, folding them, and tracking the age of the folded state. */
export * from "./keyedTopic.js";
export * from "./peerTopics.js";
export * from "./readSource.js";
export * from "./storeBackoff.js";
export * from "./topicFollower.js";
export * from "./topicSources.js";
export * from "./topicState.js";
