/**
 * Remembers which change touched a key last, to settle races between operators.
 */
import type { SupersedingChange } from "./recordResult.js";
import { type Change, getLineage, isWithin, wholeSection } from "./tree.js";

/** The last accepted change of each key, removed ones included. */
export class LatestKeyChanges {
    // By section, then by key. A removed key stays until the window has passed: forgotten at once, a change that was
    // based on the time before the removal would bring the key back without its author having seen the removal.
    readonly #sections: Map<string, Map<string, SupersedingChange>>;

    constructor(changes: Iterable<SupersedingChange> = []) {
        this.#sections = new Map();
        for (const change of changes) {
            this.#set(change);
        }
    }

    /** Lists every touch, in the order in which keys were first touched. */
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
     * Returns an accepted change that a new change had not seen and contradicts, or undefined when there is none.
     * @param change - The new change.
     * @param basedOn - The first offset that its author had not seen.
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
     * Forgets changes that lie before an offset; nobody may publish any more on what was before them.
     * @param offset - The first offset that is kept.
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
