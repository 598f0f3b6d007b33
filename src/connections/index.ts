/** Connections of the HTTP library: how their answers progress and end. */
export * from "./answerEnd.js";
export * from "./answerProgress.js";
export * from "./pipelineLimit.js";
export * from "./statedEnd.js";
export * from "./watchedConnector.js";
