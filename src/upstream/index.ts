/** Clients of upstreams, the VM list and the rating service. */
export * from "./answerObserver.js";
export * from "./connectionProbe.js";
export * from "./engineClient.js";
export * from "./engineOrders.js";
export * from "./engineStream.js";
export * from "./ratingClient.js";
export * from "./rest.js";
export * from "./serviceClient.js";
export * from "./upstreamConnector.js";
export * from "./upstreamFailure.js";
export * from "./vmListClient.js";
