/**
 * Defines the catalogue of events. The meaning of a number never changes. docs/EVENTS.md lists the events, and a test
 * compares it with the catalogue. Ranges: 100 process, 200 configuration, 300 membership, 400 requests, 500 decisions,
 * 600 claims and bills, 700 leases and roll-outs, 800 operators' commands and tools, 900 stand-ins.
 */
import { claimEvents } from "./claimEvents.js";
import { configurationEvents } from "./configurationEvents.js";
import { decisionEvents } from "./decisionEvents.js";
import type { EventDefinition, EventLevel } from "./eventDefinition.js";
import { leaseEvents } from "./leaseEvents.js";
import { membershipEvents } from "./membershipEvents.js";
import { processEvents } from "./processEvents.js";
import { requestEvents } from "./requestEvents.js";
import { roomEvents } from "./roomEvents.js";

export type { EventDefinition, EventLevel };

/** The events that rattanlock processes can write. */
export const events = {
    ...processEvents,
    ...configurationEvents,
    ...membershipEvents,
    ...requestEvents,
    ...roomEvents,
    ...decisionEvents,
    ...claimEvents,
    ...leaseEvents,
} as const satisfies Record<string, EventDefinition>;
