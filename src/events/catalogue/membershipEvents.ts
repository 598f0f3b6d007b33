/**
 * Events of the membership. Numbers from 300.
 */
import { define } from "./eventDefinition.js";

/** Events of the membership. */
export const membershipEvents = {
    memberChanged: define(
        300,
        "member-changed",
        "info",
        "This node now considers a member of the site alive, suspect, leaving or dead.",
    ),
    memberForgotten: define(
        301,
        "member-forgotten",
        "info",
        "An entry that was removed from the VM list became unresponsive and was removed from the membership.",
    ),
    peerCallFailed: define(302, "peer-call-failed", "warning", "A call from a peer could not be answered."),
};
