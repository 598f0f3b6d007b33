/** Which versions each runner of a pool is to have loaded. */
export * from "./loading.js";
export * from "./loadingOrders.js";
export * from "./versionPlacement.js";
