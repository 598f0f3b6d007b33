/**
 * Remembers which change touched a key last, to settle races between operators.
 */
import { type Change, getLineage, isWithin, wholeSection } from "./tree.js";
import type { BeatingChange } from "./verdict.js";

/** The last accepted change of each key, removed ones included. */
export class TouchedKeys {
    // By section, then by key. A removed key stays until the window has passed: forgotten at once, a change that was
    // based on the time before the removal would bring the key back without its author having seen the removal.
    readonly #sections: Map<string, Map<string, BeatingChange>>;

    constructor(touches: Iterable<BeatingChange> = []) {
        this.#sections = new Map();
        for (const touch of touches) {
            this.#set(touch);
        }
    }

    /** Lists every touch, in the order in which keys were first touched. */
    list(): readonly BeatingChange[] {
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
    findBeating(change: Change, basedOn: number): BeatingChange | undefined {
        for (const section of getLineage(change.section)) {
            const removal = this.#sections.get(section)?.get(wholeSection);
            if (removal !== undefined && removal.offset >= basedOn) {
                return removal;
            }
        }
        if (change.key === wholeSection) {
            return this.#findWithin(change.section, basedOn);
        }
        const touch = this.#sections.get(change.section)?.get(change.key);
        return touch !== undefined && touch.offset >= basedOn ? touch : undefined;
    }

    /**
     * Forgets changes that lie before an offset; nobody may publish any more on what was before them.
     * @param offset - The first offset that is kept.
     */
    removeBefore(offset: number): void {
        for (const [section, keys] of this.#sections) {
            for (const [key, touch] of keys) {
                if (touch.offset < offset) {
                    keys.delete(key);
                }
            }
            if (keys.size === 0) {
                this.#sections.delete(section);
            }
        }
    }

    #findWithin(ancestor: string, basedOn: number): BeatingChange | undefined {
        for (const [section, keys] of this.#sections) {
            if (!isWithin(section, ancestor)) {
                continue;
            }
            for (const touch of keys.values()) {
                if (touch.offset >= basedOn) {
                    return touch;
                }
            }
        }
        return undefined;
    }

    #set(touch: BeatingChange): void {
        const keys = this.#sections.get(touch.section) ?? new Map<string, BeatingChange>();
        keys.set(touch.key, touch);
        this.#sections.set(touch.section, keys);
    }
}
