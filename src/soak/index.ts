/** Soak tests: seeded faults at a running site, whose invariants are checked at the end. */
export { runSoak, type SoakOptions, type SoakResult } from "./soak.js";
