/**
 * The catalogue of events. A number never changes its meaning; docs/EVENTS.md lists them, and a test compares
 * the two. Ranges: 100 process, 200 configuration, 300 membership, 400 requests, 500 decisions, 600 claims and
 * bills, 700 leases and roll-outs, 800 operators' commands and tools, 900 stand-ins.
 */

/** How urgent an event is for an operator. */
export type EventLevel = "info" | "warning" | "error";

/** One entry of the catalogue. */
export interface EventDefinition {
    readonly number: number;
    readonly name: string;
    readonly level: EventLevel;
    /** One sentence for docs/EVENTS.md. */
    readonly description: string;
}

function define(number: number, name: string, level: EventLevel, description: string): EventDefinition {
    return { number, name, level, description };
}

/** Every event that a rattanlock process can write. */
export const events = {
    processStarted: define(100, "process-started", "info", "A process listens and is ready for work."),
    processStopping: define(101, "process-stopping", "info", "A process was told to stop and finishes its work."),
    processStopped: define(102, "process-stopped", "info", "A process finished its work and exits with code 0."),
    memberChanged: define(
        300,
        "member-changed",
        "info",
        "A member of the site is now alive, suspect, leaving or dead as seen from here.",
    ),
    memberForgotten: define(
        301,
        "member-forgotten",
        "info",
        "An entry that has left the VM list fell silent and was forgotten.",
    ),
    peerCallFailed: define(302, "peer-call-failed", "warning", "A call from a peer could not be answered."),
    claimsGap: define(
        600,
        "claims-gap",
        "warning",
        "Claims of a partition expired before this node had read them; it decides none until its state is whole again.",
    ),
    claimsRestored: define(
        601,
        "claims-restored",
        "info",
        "The state of a partition of claims was restored from a snapshot.",
    ),
    claimsAppendFailed: define(
        602,
        "claims-append-failed",
        "warning",
        "The log did not confirm a record of claims; it is appended again under the same identifier.",
    ),
    claimAbandoned: define(
        603,
        "claim-abandoned",
        "warning",
        "A claim was not confirmed in time; the request was not dispatched and the claim is being released.",
    ),
    billsNotCopied: define(
        610,
        "bills-not-copied",
        "warning",
        "No other VM took a copy of bills; their answers wait for the log instead.",
    ),
    billsUnsafe: define(
        611,
        "bills-unsafe",
        "error",
        "An entry stops while bills are neither in the log nor with another VM.",
    ),
    billsTakenOver: define(
        612,
        "bills-taken-over",
        "info",
        "Bills of an entry that is gone or did not confirm them were appended by the VM that kept their copies.",
    ),
    billConflict: define(
        613,
        "bill-conflict",
        "warning",
        "A request has two bills of unlike totals; the first in the log counts.",
    ),
    ledgerGap: define(
        614,
        "ledger-gap",
        "error",
        "Bills expired from the log before the ledger read them; they are missing from it.",
    ),
    leaseTaken: define(
        750,
        "lease-taken",
        "info",
        "This process holds a lease; the fencing number goes with every order.",
    ),
    leaseLapsed: define(
        751,
        "lease-lapsed",
        "warning",
        "This process could not renew a lease in time and no longer holds it.",
    ),
    leaseLost: define(752, "lease-lost", "warning", "Another process took a lease that this one held."),
    orderRefused: define(
        753,
        "order-refused",
        "warning",
        "An engine refused an order because its fencing number is older than one it has seen.",
    ),
    orderNotReached: define(
        754,
        "order-not-reached",
        "warning",
        "An engine does not report what it was ordered to run.",
    ),
} as const satisfies Record<string, EventDefinition>;
