/**
 * Events of requests that compete for the room of a pool. Numbers from 450.
 */
import { define } from "./eventDefinition.js";

/** Events of requests that compete for the room of a pool. */
export const roomEvents = {
    requestWaited: define(
        450,
        "request-waited",
        "info",
        "A request waited at this node until there was room for it at its full pool.",
    ),
    requestTurnedAway: define(
        451,
        "request-turned-away",
        "info",
        "A request was turned away before any upstream was asked, since its pool is full and it could not be answered in time.",
    ),
};
