/** Which upstreams a node reaches, and calls to the others through peers. */
export * from "./crashProbe.js";
export * from "./lifeProbe.js";
export * from "./reachability.js";
export * from "./relayInterceptor.js";
export * from "./relayPeers.js";
export * from "./relayServer.js";
export * from "./sharedReachability.js";
