/** Sites of real processes for tests, scenarios and the demo. */
export * from "./catania.js";
export * from "./entryStatus.js";
export * from "./metroManila.js";
export * from "./site.js";
export * from "./siteDescription.js";
