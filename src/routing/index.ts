/** Routes, pools and workspaces of one version of the operator's configuration. */
export * from "./pool.js";
export * from "./route.js";
export * from "./routeTable.js";
