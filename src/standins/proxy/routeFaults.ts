/**
 * The faults of one route through the proxy.
 */
import { z } from "zod";
import { amount, flag } from "../conditions.js";

/** Every fault of a route. */
export const routeFaultSchema = z.strictObject({
    /** How late bytes arrive, in each direction. */
    delayMilliseconds: amount.default(0),
    /** Refuses new connections and breaks the open ones. */
    cut: flag.default(false),
    /** Accepts connections and bytes and delivers nothing, not even an end. */
    halfOpen: flag.default(false),
    /** Holds all bytes back until it is lifted. */
    freeze: flag.default(false),
    /** The direction whose bytes are dropped. */
    oneWay: z.enum(["none", "to-target", "from-target"]).default("none"),
    /** Breaks each connection after so many bytes from its target, counted from the change of faults; 0 never does. */
    cutAfterBytes: amount.default(0),
});

/** Faults in force on a route. */
export type RouteFaults = z.infer<typeof routeFaultSchema>;

/** Which way bytes go: from the connecting side to the target, or back. */
export type Direction = "to-target" | "from-target";
