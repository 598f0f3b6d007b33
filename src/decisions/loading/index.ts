/** Version loading: decides which versions each runner of a pool loads. */
export * from "./loading.js";
export * from "./loadingOrders.js";
export * from "./versionPlacement.js";
