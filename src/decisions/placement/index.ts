/** Selection of a runner for a request. */
export * from "./options.js";
export * from "./placement.js";
export * from "./pollSchedule.js";
export * from "./runnerChooser.js";
export { Work } from "./work.js";
