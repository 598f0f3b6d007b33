/** The scenario language, which scripts requests, faults and checks at a site. */
export * from "./entrySite.js";
export * from "./readScenario.js";
export * from "./runScenario.js";
export * from "./scenarioSite.js";
export * from "./standinSite.js";
export * from "./step.js";
export { verbs } from "./verbs.js";
