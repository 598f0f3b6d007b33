/** The state that the nodes share through the `control` stream. */
export * from "./rollout.js";
export * from "./rolloutFold.js";
