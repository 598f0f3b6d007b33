/**
 * Applies the records of the status topic to members, roll-outs and the quarantines.
 */
import { events, type Journal, type ThrottledJournal } from "../events/index.js";
import type { MemberDirectory } from "../membership/index.js";
import { mergeEncodedRecords, type Quarantine } from "../quarantine/index.js";
import type { Rollouts } from "../rollouts/index.js";
import type { KeyedRecord } from "../topics/index.js";
import { decodePinReport, decodeProgress } from "./decodeConfiguration.js";
import { recordKeys } from "./wire.js";

/** Options of `StatusRecords`. */
export interface StatusRecordsOptions {
    readonly journal: Journal;
    readonly throttledJournal: Pick<ThrottledJournal, "write">;
    readonly directory: MemberDirectory;
    readonly quarantine: Quarantine;
    readonly partQuarantine: Quarantine;
    /** Returns the roll-outs of this node. */
    readonly getRollouts: () => Rollouts;
}

/** Applies what the nodes write to the status topic for each other. */
export class StatusRecords {
    readonly #options: StatusRecordsOptions;

    constructor(options: StatusRecordsOptions) {
        this.#options = options;
    }

    /** Applies records of the status topic that have changed. */
    apply(changed: readonly KeyedRecord[]): void {
        const { directory, journal, throttledJournal, quarantine, partQuarantine } = this.#options;
        const members: [string, Buffer | undefined][] = [];
        for (const { key, value } of changed) {
            if (key.startsWith(recordKeys.memberPrefix)) {
                members.push([key.slice(recordKeys.memberPrefix.length), value]);
            }
            else if (key.startsWith(recordKeys.progressPrefix) && value !== undefined) {
                this.#applyProgress(key, value);
            }
            else if (key.startsWith(recordKeys.pinsPrefix) && value !== undefined) {
                this.#applyPins(key, value);
            }
            else if (key.startsWith(recordKeys.quarantinePrefix) && value !== undefined) {
                // The node's own records from before a restart are among them.
                mergeEncodedRecords(quarantine, journal, { source: key, value });
            }
            else if (key.startsWith(recordKeys.partQuarantinePrefix) && value !== undefined) {
                mergeEncodedRecords(partQuarantine, journal, { source: key, value });
            }
        }
        for (const id of directory.apply(members)) {
            const key = `${recordKeys.memberPrefix}${id}`;
            throttledJournal.write(events.recordUnreadable, key, { key });
        }
    }

    #applyProgress(key: string, value: Buffer): void {
        const { getRollouts, throttledJournal } = this.#options;
        decodeProgress(value).match(
            progress => getRollouts().setProgress(key.slice(recordKeys.progressPrefix.length), progress),
            failure => throttledJournal.write(events.recordUnreadable, key, { key, cause: String(failure.cause) }),
        );
    }

    #applyPins(key: string, value: Buffer): void {
        const { getRollouts, throttledJournal } = this.#options;
        const [node, ...pool] = key.slice(recordKeys.pinsPrefix.length).split("/");
        decodePinReport(value).match(
            report => getRollouts().setPins(pool.join("/"), node, report),
            failure => throttledJournal.write(events.recordUnreadable, key, { key, cause: String(failure.cause) }),
        );
    }
}
