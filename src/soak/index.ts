/** Soaks: seeded faults at a running site, judged at the end. */
export { runSoak, type SoakOptions, type SoakResult } from "./soak.js";
