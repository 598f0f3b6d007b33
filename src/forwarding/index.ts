/** Handles requests from admission to the final answer. */
export * from "./answerBuffers.js";
export * from "./answerEnd.js";
export * from "./attempt.js";
export * from "./attempts.js";
export * from "./callerReply.js";
export * from "./callerRequest.js";
export * from "./eventSplitter.js";
export * from "./exchange.js";
export * from "./forwarder.js";
export * from "./headWatch.js";
export * from "./metrics.js";
export * from "./refusals.js";
export * from "./replyBuffers.js";
export * from "./shutdown.js";
export * from "./upstreamCall.js";
export * from "./upstreamObserver.js";
export * from "./waitingRoom.js";
