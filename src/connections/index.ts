/** Connections of the HTTP library: how their answers progress and end, and what the requests on them may take. */
export * from "./answerEnd.js";
export * from "./answerProgress.js";
export * from "./bodyMemory.js";
export * from "./pipelineLimit.js";
export * from "./requestBody.js";
export * from "./statedEnd.js";
export * from "./turnQueue.js";
export * from "./unreadBodies.js";
export * from "./watchedConnector.js";
