/**
 * Client functions for the test endpoints that every stand-in has.
 */
import { callJson } from "../caller/index.js";

/** Sets faults of a stand-in. */
export async function setFaults(address: string, faults: object): Promise<void> {
    await callJson({ address, path: "/faults", method: "POST", body: faults });
}

/** Returns a stand-in's journal, starting at an entry's index. */
export function getJournal<JournalEntry>(address: string, from = 0): Promise<readonly JournalEntry[]> {
    return callJson<readonly JournalEntry[]>({ address, path: `/journal?from=${from}` });
}
