/**
 * Events of claims and bills. Numbers from 600.
 */
import { define } from "./eventDefinition.js";

/** Events of claims and bills. */
export const claimEvents = {
    claimsGap: define(
        600,
        "claims-gap",
        "warning",
        "Claims of a partition expired before this node read them; the node decides no claims of the partition until its state is complete again.",
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
        "The log did not confirm a record of claims; the record is appended again with the same identifier.",
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
        "No other VM accepted a copy of the bills; their answers wait for the log instead.",
    ),
    billsUnsafe: define(
        611,
        "bills-unsafe",
        "error",
        "An entry stops while bills are neither in the log nor on another VM.",
    ),
    billsTakenOver: define(
        612,
        "bills-taken-over",
        "info",
        "Bills of an entry that departed or did not confirm them were appended by the VM that stores their copies.",
    ),
    billConflict: define(
        613,
        "bill-conflict",
        "warning",
        "A request has two bills with different totals; the first one in the log counts.",
    ),
    ledgerGap: define(
        614,
        "ledger-gap",
        "error",
        "Bills expired from the log before the ledger read them; they are missing from it.",
    ),
};
