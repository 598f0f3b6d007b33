/** Roll-outs of a pool's software under live traffic. */
export * from "./rollout.js";
export * from "./rollouts.js";
