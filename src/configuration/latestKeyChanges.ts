/**
 * Tracks the latest change of each key, to resolve conflicts between operators.
 */
import type { SupersedingChange } from "./recordResult.js";
import { type Change, getLineage, isWithin, wholeSection } from "./tree.js";

/** Stores the latest accepted change of each key, including removed keys. */
export class LatestKeyChanges {
    // By section, then by key. A removed key is retained until the window has passed. Otherwise, a change that is based on
    // the state before the removal would restore the key although its author had not read the removal.
    readonly #sections: Map<string, Map<string, SupersedingChange>>;

    constructor(changes: Iterable<SupersedingChange> = []) {
        this.#sections = new Map();
        for (const change of changes) {
            this.#set(change);
        }
    }

    /** Returns all key changes, in the order in which their sections and keys were first changed. */
    getAll(): readonly SupersedingChange[] {
        return [...this.#sections.values()].flatMap(keys => [...keys.values()]);
    }

    /**
     * Records an accepted change.
     * @param change - The change.
     * @param offset - The offset of its record.
     * @param author - The record's author.
     */
    add(change: Change, offset: number, author: string): void {
        this.#set({ offset, author, section: change.section, key: change.key });
    }

    /**
     * Returns an accepted change that conflicts with a new change and that its author had not read, or undefined if there
     * is none.
     * @param change - The new change.
     * @param basedOn - The first offset that the author had not read.
     */
    findSuperseding(change: Change, basedOn: number): SupersedingChange | undefined {
        for (const section of getLineage(change.section)) {
            const removal = this.#sections.get(section)?.get(wholeSection);
            if (removal !== undefined && removal.offset >= basedOn) {
                return removal;
            }
        }
        if (change.key === wholeSection) {
            return this.#findWithin(change.section, basedOn);
        }
        const latest = this.#sections.get(change.section)?.get(change.key);
        return latest !== undefined && latest.offset >= basedOn ? latest : undefined;
    }

    /**
     * Removes the changes before an offset. Publications that are based on earlier states are rejected.
     * @param offset - The first offset to retain.
     */
    removeBefore(offset: number): void {
        for (const [section, keys] of this.#sections) {
            for (const [key, change] of keys) {
                if (change.offset < offset) {
                    keys.delete(key);
                }
            }
            if (keys.size === 0) {
                this.#sections.delete(section);
            }
        }
    }

    #findWithin(ancestor: string, basedOn: number): SupersedingChange | undefined {
        for (const [section, keys] of this.#sections) {
            if (!isWithin(section, ancestor)) {
                continue;
            }
            for (const change of keys.values()) {
                if (change.offset >= basedOn) {
                    return change;
                }
            }
        }
        return undefined;
    }

    #set(change: SupersedingChange): void {
        const keys = this.#sections.get(change.section) ?? new Map<string, SupersedingChange>();
        keys.set(change.key, change);
        this.#sections.set(change.section, keys);
    }
}
