/**
 * Folds the `config` stream into the configuration. The same records give the same state on every reader.
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

/** Identifiers that are remembered. An older repeat is beaten by the record's own first acceptance. */
const maxSeenIds = 1_024;
/** Verdicts that are remembered. */
const maxHistory = 100;
/** How many records old the state may be that a publication is based on. */
export const basedOnWindow = 2_048;
/** Old touches are dropped whenever an offset is a multiple of this. */
const pruneInterval = 64;

/** The state that records have built up. */
export class ConfigurationFold {
    #offset = 0;
    #configuration = new Configuration(new Map(), 0);
    #latestChanges = new LatestKeyChanges();
    #seenIds = new Set<string>();
    #history: readonly RecordResult[] = [];
    #isStopped = false;

    /**
     * Takes over a state that `toSnapshot` made.
     * @param snapshot - The state, as it came from the log or from a peer.
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

    /** Returns the configuration in force. It is the same object until a change is accepted. */
    getConfiguration(): Configuration {
        return this.#configuration;
    }

    /** Returns the offset to fold next. */
    getOffset(): number {
        return this.#offset;
    }

    /** Returns the latest verdicts about publications, the oldest first. */
    getHistory(): readonly RecordResult[] {
        return this.#history;
    }

    /** Tells whether the fold met a record that this release cannot read. */
    isStopped(): boolean {
        return this.#isStopped;
    }

    /** Returns the state for a snapshot. */
    toSnapshot(): ConfigurationSnapshot {
        return {
            format: getRequiredFormat(this.#configuration.getTree().keys()),
            offset: this.#offset,
            changedAt: this.#configuration.getOffset(),
            tree: [...this.#configuration.getTree()].map(([section, keys]) => [section, [...keys]]),
            touched: [...this.#latestChanges.getAll()],
            seen: [...this.#seenIds],
            history: this.#history.map(verdict => ({
                ...verdict,
                mistakes: [...verdict.mistakes],
                withdrawn: [...verdict.withdrawn],
            })),
        };
    }

    /**
     * Folds a record.
     * @param entry - The record with its place.
     * @returns What became of it.
     */
    apply(entry: LogEntry): RecordResult {
        if (entry.offset < this.#offset) {
            return createRecordResult(entry, "repeated");
        }
        if (entry.offset > this.#offset) {
            // Folding on after a hole would let a reader with the hole differ from one without, and nobody would see it.
            return createRecordResult(entry, this.#isStopped ? "unreadable" : "gap");
        }
        if (entry.record.kind === "publish" && entry.record.format > treeFormat) {
            // Passing over it would leave this reader with another tree than its peers, and it would call itself current.
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
            const beatenBy = this.#latestChanges.findSuperseding(change, publication.basedOn);
            if (beatenBy !== undefined) {
                return createRecordResult(entry, "rejected", { ...details, beatenBy, mistakes: errors });
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
     * Puts the withdrawals of a publication in force before anything else is decided.
     *
     * An operator who withdraws a bad version must not lose to somebody who edits its price at the same time: callers
     * would go on getting its answers until the operator notices the rejection. So withdrawals are neither beaten nor
     * undone by the fate of the record's other changes, and they need no existing section. They count as a touch, so
     * that whoever wants to lift one must have seen it.
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

/** Tells whether a change withdraws a version. */
export function isWithdrawal(change: Change): boolean {
    return change.section.startsWith("version.") && change.key === "status" && change.value === "withdrawn";
}

function checkChanges(changes: readonly Change[], format: number): readonly TreeValidationError[] {
    return changes.map(change => checkChange(change, format)).filter(mistake => mistake !== undefined);
}

function checkBasedOn(entry: LogEntry, publication: Publication, changes: readonly Change[]): TreeValidationError[] {
    const place = { section: "", key: "" };
    if (publication.basedOn > entry.offset) {
        const message = `It names the offset ${publication.basedOn}, which came after it.`;
        return [{ ...place, message, remedy: "Publish anew from the tree in force." }];
    }
    // Touches are forgotten after the window, so that an older change could no longer be judged.
    if (changes.length > 0 && publication.basedOn < entry.offset - basedOnWindow) {
        const message = `It is based on a tree that is more than ${basedOnWindow} records old.`;
        return [{ ...place, message, remedy: "Compare with the tree in force and publish anew." }];
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
