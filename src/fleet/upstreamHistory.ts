/**
 * What the records of upstreams have said last, also of those that are gone.
 *
 * When the store comes back from an older copy of itself, upstreams that have left seem to be there again until they write their records
 * once more, or their records expire. Requests that are sent to them meanwhile fail, or keep them from leaving.
 */
import { isOfLaterEra } from "../common/index.js";
import { isSameIncarnation, type RegisteredUpstream } from "./upstream.js";

/** Number of upstreams that are remembered, the most recent ones. */
const maxRemembered = 4_096;

interface PastRecord {
    readonly upstream: RegisteredUpstream;
    readonly position: number;
    /** Whether the upstream has left, by its own record or as that was removed. */
    readonly hasLeft: boolean;
}

/** Remembers the last record of each upstream. */
export class UpstreamHistory {
    /** By identifier, the most recent one at the end. */
    readonly #records = new Map<string, PastRecord>();

    /**
     * Adds a record.
     * @param upstream - The upstream as its record describes it.
     * @param position - The record's position in the topic.
     * @returns Whether the record is older than what was known: the store has come back since, and the upstream has left.
     */
    add(upstream: RegisteredUpstream, position: number): boolean {
        const known = this.#records.get(upstream.id);
        const isOutdated = known !== undefined && isOlder(upstream, position, known);
        this.#set(isOutdated ? { ...known, position } : { upstream, position, hasLeft: upstream.isLeaving });
        return isOutdated;
    }

    /**
     * Records that the record of an upstream was removed, and not merely expired while the store was away.
     * @param id - The upstream's identifier.
     */
    markRemoved(id: string): void {
        const known = this.#records.get(id);
        if (known !== undefined) {
            this.#set({ ...known, hasLeft: true });
        }
    }

    #set(record: PastRecord): void {
        const { id } = record.upstream;
        this.#records.delete(id);
        this.#records.set(id, record);
        for (const oldest of this.#records.keys()) {
            if (this.#records.size <= maxRemembered) {
                return;
            }
            this.#records.delete(oldest);
        }
    }
}

function isOlder(upstream: RegisteredUpstream, position: number, known: PastRecord): boolean {
    if (!known.hasLeft || !isOfLaterEra(position, known.position) || !isSameIncarnation(known.upstream, upstream)) {
        return false;
    }
    const [before, now] = [known.upstream.sequenceNumber, upstream.sequenceNumber];
    // Without numbers, only what the upstream itself has said is final: it never takes that back.
    return before === undefined || now === undefined ? known.upstream.isLeaving : now <= before;
}
