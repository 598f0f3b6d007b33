/**
 * Positions of records in a topic.
 *
 * The store numbers the records of a topic by offsets. When it comes back from an older copy of itself, offsets go back and are given out
 * again, and a new era begins. A position combines both to one number that only grows, so that what was written later is always greater.
 */

/** Offsets of one era; greater ones cannot be told apart from those of the next era. A topic reaches this after centuries. */
const offsetsPerEra = 2 ** 36;

/** Offset of a record in an era of the store. */
export interface TopicOffset {
    /** Rises each time the store comes back from an older copy. 0 for a store that never does. */
    readonly era: number;
    readonly offset: number;
}

/** Returns the position of an offset. */
export function createPosition({ era, offset }: TopicOffset): number {
    return era * offsetsPerEra + offset;
}

/** Returns the era and the offset of a position. */
export function readPosition(position: number): TopicOffset {
    const era = Math.floor(position / offsetsPerEra);
    return { era, offset: position - era * offsetsPerEra };
}

/** Returns whether the store came back from an older copy between two positions. */
export function isOfLaterEra(position: number, than: number): boolean {
    return readPosition(position).era > readPosition(than).era;
}
