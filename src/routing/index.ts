/** The operator's routes, pools and workspaces, version by version. */
export * from "./pool.js";
export * from "./route.js";
export * from "./routeTable.js";
