/**
 * Faults of one route through the proxy.
 */
import { z } from "zod";
import { flag, nonNegativeNumber } from "../conditions.js";

/** All faults of a route. */
export const routeFaultSchema = z.strictObject({
    /** Delay of the bytes in each direction. */
    delayMilliseconds: nonNegativeNumber.default(0),
    /** Refuses new connections and breaks open ones. */
    cut: flag.default(false),
    /** Accepts connections and bytes but delivers nothing, not even the end of a connection. */
    halfOpen: flag.default(false),
    /** Holds back all bytes until the fault is lifted. */
    freeze: flag.default(false),
    /** The direction whose bytes are dropped. */
    oneWay: z.enum(["none", "to-target", "from-target"]).default("none"),
    /** Breaks each connection after this many bytes from its target, counted from the last change of faults. 0 disables it. */
    cutAfterBytes: nonNegativeNumber.default(0),
});

/** Faults in force on a route. */
export type RouteFaults = z.infer<typeof routeFaultSchema>;

/** Direction of bytes: from the connecting side to the target, or back. */
export type Direction = "to-target" | "from-target";
