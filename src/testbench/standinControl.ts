/**
 * The test controls that every stand-in has.
 */
import { callJson } from "../caller/index.js";

/** Switches faults of a stand-in. */
export async function setFaults(address: string, faults: object): Promise<void> {
    await callJson({ address, path: "/faults", method: "POST", body: faults });
}

/** Returns a stand-in's journal, from a note on. */
export function getJournal<JournalEntry>(address: string, from = 0): Promise<readonly JournalEntry[]> {
    return callJson<readonly JournalEntry[]>({ address, path: `/journal?from=${from}` });
}
