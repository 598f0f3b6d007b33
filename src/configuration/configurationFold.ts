/**
 * Folds the `config` stream into the configuration. The same records produce the same state on every reader.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../common/index.js";
import type { LogEntry } from "../log/index.js";
import { checkChange, checkTree, type TreeValidationError } from "./checkTree.js";
import { Configuration } from "./configuration.js";
import { type ConfigurationSnapshot, parseSnapshot } from "./configurationSnapshot.js";
import { LatestKeyChanges } from "./latestKeyChanges.js";
import { type Publication, publicationSchema } from "./publication.js";
import type { RecordOutcome, RecordResult } from "./recordResult.js";
import { type Change, changeTree, type Tree } from "./tree.js";
import { getRequiredFormat, treeFormat } from "./treeSchema.js";

/** Maximum number of record identifiers to retain. An older repeat is superseded by the record's own first acceptance. */
const maxSeenIds = 1_024;
/** Maximum number of record results to retain. */
const maxHistory = 100;
/** Maximum age, in records, of the state that a publication is based on. */
export const basedOnWindow = 2_048;
/** Old key changes are removed whenever an offset is a multiple of this number. */
const pruneInterval = 64;

/** Represents the state that is folded from records. */
export class ConfigurationFold {
    #offset = 0;
    #configuration = new Configuration(new Map(), 0);
    #latestChanges = new LatestKeyChanges();
    #seenIds = new Set<string>();
    #history: readonly RecordResult[] = [];
    #isStopped = false;

    /**
     * Restores a fold from a state that `toSnapshot` returned.
     * @param snapshot - The state, as received from the log or from a peer.
     */
    static fromSnapshot(snapshot: unknown): Result<ConfigurationFold, Failure> {
        return parseSnapshot(snapshot).map(state => {
            const fold = new ConfigurationFold();
            fold.#offset = state.offset;
            fold.#configuration = new Configuration(readTree(state), state.changedAt);
            fold.#latestChanges = new LatestKeyChanges(state.touched);
            fold.#seenIds = new Set(state.seen);
            fold.#history = state.history;
            return fold;
        });
    }

    /** Returns the configuration in force. The object stays the same until a change is accepted. */
    getConfiguration(): Configuration {
        return this.#configuration;
    }

    /** Returns the offset of the next record to fold. */
    getOffset(): number {
        return this.#offset;
    }

    /** Returns the latest results of publications, in log order. */
    getHistory(): readonly RecordResult[] {
        return this.#history;
    }

    /** Returns whether the fold stopped at a record that this release cannot read. */
    isStopped(): boolean {
        return this.#isStopped;
    }

    /** Returns the state as a snapshot. */
    toSnapshot(): ConfigurationSnapshot {
        return {
            format: getRequiredFormat(this.#configuration.getTree().keys()),
            offset: this.#offset,
            changedAt: this.#configuration.getOffset(),
            tree: [...this.#configuration.getTree()].map(([section, keys]) => [section, [...keys]]),
            touched: [...this.#latestChanges.getAll()],
            seen: [...this.#seenIds],
            history: this.#history.map(result => ({
                ...result,
                mistakes: [...result.mistakes],
                withdrawn: [...result.withdrawn],
            })),
        };
    }

    /**
     * Folds a record.
     * @param entry - The record with its offset.
     * @returns The result for this record.
     */
    apply(entry: LogEntry): RecordResult {
        if (entry.offset < this.#offset) {
            return createRecordResult(entry, "repeated");
        }
        if (entry.offset > this.#offset) {
            // Folding past a gap would make this reader differ from readers without the gap, and nothing would report it.
            return createRecordResult(entry, this.#isStopped ? "unreadable" : "gap");
        }
        if (entry.record.kind === "publish" && entry.record.format > treeFormat) {
            // Skipping it would leave this reader with a different tree than its peers, yet reported as up to date.
            this.#isStopped = true;
            return createRecordResult(entry, "unreadable");
        }
        const result = this.#applyRecord(entry);
        this.#offset = entry.offset + 1;
        this.#recordResult(result);
        return result;
    }

    #applyRecord(entry: LogEntry): RecordResult {
        if (entry.record.kind !== "publish") {
            return createRecordResult(entry, "ignored");
        }
        if (this.#seenIds.has(entry.record.id)) {
            return createRecordResult(entry, "repeated");
        }
        const parsed = publicationSchema.safeParse(entry.record.body);
        if (!parsed.success) {
            const error = { section: "", key: "", message: "The record has no valid body.", remedy: "Publish anew." };
            return createRecordResult(entry, "rejected", { mistakes: [error] });
        }
        return this.#applyPublication(entry, parsed.data);
    }

    #applyPublication(entry: LogEntry, publication: Publication): RecordResult {
        const details = {
            author: publication.author,
            reason: publication.reason,
            changes: publication.changes.length,
            withdrawn: this.#applyWithdrawals(entry, publication),
        };
        const otherChanges = publication.changes.filter(change => !isWithdrawal(change));
        const errors = checkBasedOn(entry, publication, otherChanges);
        errors.push(...checkChanges(otherChanges, entry.record.format));
        for (const change of otherChanges) {
            const supersedingChange = this.#latestChanges.findSuperseding(change, publication.basedOn);
            if (supersedingChange !== undefined) {
                return createRecordResult(entry, "rejected", {
                    ...details,
                    beatenBy: supersedingChange,
                    mistakes: errors,
                });
            }
        }
        if (errors.length > 0) {
            return createRecordResult(entry, "rejected", { ...details, mistakes: errors });
        }
        const tree = changeTree(this.#configuration.getTree(), otherChanges);
        const treeErrors = otherChanges.length === 0 ? [] : checkTree(tree);
        if (treeErrors.length > 0) {
            return createRecordResult(entry, "rejected", { ...details, mistakes: treeErrors });
        }
        this.#activate(entry, publication.author, otherChanges, tree);
        return createRecordResult(entry, "accepted", details);
    }

    /**
     * Applies the withdrawals of a publication before its other changes are evaluated.
     *
     * If an operator withdraws a bad version while another operator edits its price, the withdrawal must not be rejected:
     * callers would continue to receive the version's answers until the operator notices the rejection. Withdrawals are
     * therefore never superseded, they stay in force if the record's other changes are rejected, and they need no
     * existing section. A withdrawal is recorded as the latest change of its key, so that only an author who has read
     * it can lift it.
     */
    #applyWithdrawals(entry: LogEntry, publication: Publication): readonly string[] {
        const withdrawals = publication.changes.filter(isWithdrawal).filter(change =>
            checkChange(change, entry.record.format) === undefined
        );
        if (withdrawals.length > 0) {
            const tree = changeTree(this.#configuration.getTree(), withdrawals);
            this.#activate(entry, publication.author, withdrawals, tree);
        }
        return withdrawals.map(change => change.section.slice("version.".length));
    }

    #activate(entry: LogEntry, author: string, changes: readonly Change[], tree: Tree): void {
        for (const change of changes) {
            this.#latestChanges.add(change, entry.offset, author);
        }
        this.#configuration = new Configuration(tree, entry.offset + 1);
    }

    #recordResult(result: RecordResult): void {
        if (result.outcome === "accepted" || result.outcome === "rejected") {
            this.#history = [...this.#history, result].slice(-maxHistory);
            this.#seenIds.add(result.id);
        }
        for (const id of this.#seenIds) {
            if (this.#seenIds.size <= maxSeenIds) {
                break;
            }
            this.#seenIds.delete(id);
        }
        if (result.offset % pruneInterval === 0) {
            this.#latestChanges.removeBefore(result.offset - basedOnWindow);
        }
    }
}

/** Returns whether a change withdraws a version. */
export function isWithdrawal(change: Change): boolean {
    return change.section.startsWith("version.") && change.key === "status" && change.value === "withdrawn";
}

function checkChanges(changes: readonly Change[], format: number): readonly TreeValidationError[] {
    return changes.map(change => checkChange(change, format)).filter(error => error !== undefined);
}

function checkBasedOn(entry: LogEntry, publication: Publication, changes: readonly Change[]): TreeValidationError[] {
    const location = { section: "", key: "" };
    if (publication.basedOn > entry.offset) {
        const message = `It names the offset ${publication.basedOn}, which came after it.`;
        return [{ ...location, message, remedy: "Publish anew from the tree in force." }];
    }
    // Key changes are removed after the window. Conflicts with an older base could no longer be detected.
    if (changes.length > 0 && publication.basedOn < entry.offset - basedOnWindow) {
        const message = `It is based on a tree that is more than ${basedOnWindow} records old.`;
        return [{ ...location, message, remedy: "Compare with the tree in force and publish anew." }];
    }
    return [];
}

function readTree(state: ConfigurationSnapshot): Tree {
    return new Map(state.tree.map(([section, keys]) => [section, new Map(keys)]));
}

function createRecordResult(
    entry: LogEntry,
    outcome: RecordOutcome,
    details: Partial<RecordResult> = {},
): RecordResult {
    return {
        outcome,
        offset: entry.offset,
        time: entry.time,
        id: entry.record.id,
        author: entry.record.writer,
        reason: "",
        changes: 0,
        mistakes: [],
        withdrawn: [],
        ...details,
    };
}
