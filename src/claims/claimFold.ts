/**
 * The deterministic state of one partition of claims: every reader of the same records holds the same state, and the
 * first claim on a key in the log's order wins.
 *
 * Time is the log service's own, as it stands in the entries, and never goes back: readers whose clocks differ would
 * otherwise expire a key at different records and disagree about who was granted it.
 */
import type { LogEntry } from "../log/record.js";
import {
    type ClaimDecision,
    type ClaimOperation,
    claimsBodySchema,
    claimsKind,
    type ClaimsSnapshotPart,
    getPurpose,
} from "./claimOperation.js";

const hourMilliseconds = 3_600_000;

/** How long things are kept, by the log's time. All nodes must use the same. */
export interface ClaimLifetimes {
    /** How long a run's key is kept after the claim. Afterwards the key may run again. */
    readonly runMilliseconds: number;
    /** How long a session's pin is kept after its last use in the log. */
    readonly pinMilliseconds: number;
    /** How long identifiers of records and of ended claims are kept to recognise a late repeat. */
    readonly deduplicationMilliseconds: number;
}

/** The lifetimes when nothing else is set. */
export const defaultLifetimes: ClaimLifetimes = {
    runMilliseconds: 24 * hourMilliseconds,
    pinMilliseconds: 72 * hourMilliseconds,
    deduplicationMilliseconds: hourMilliseconds,
};

/** Who holds a key. */
export interface Holding {
    readonly id: string;
    readonly value: string;
    /** Log time of the claim, or of a pin's last renewal. */
    readonly time: number;
    readonly outcome?: string;
}

/** Folds the records of one partition. */
export class ClaimFold {
    readonly #lifetimes: ClaimLifetimes;
    /** Ordered by `time`, so that expiry only ever looks at the front of each purpose's map. */
    readonly #runs = new Map<string, Holding>();
    readonly #pins = new Map<string, Holding>();
    readonly #endedClaims = new Map<string, number>();
    readonly #recordIds = new Map<string, number>();
    #logTime = 0;
    #offset = -1;

    constructor(lifetimes: ClaimLifetimes = defaultLifetimes) {
        this.#lifetimes = lifetimes;
    }

    /** Returns the last offset that is folded in, or -1. */
    getOffset(): number {
        return this.#offset;
    }

    /** Returns the greatest log time seen. */
    getLogTime(): number {
        return this.#logTime;
    }

    /** Returns how many keys are held. */
    getSize(): number {
        return this.#runs.size + this.#pins.size;
    }

    /**
     * Returns who holds a key.
     * @param key - The key.
     */
    get(key: string): Holding | undefined {
        return this.#getHoldings(key).get(key);
    }

    /**
     * Folds an entry in. An entry at or before the folded offset is passed over, so the state only moves forward.
     * @param entry - The next entry of the partition.
     * @returns How each operation in it ended.
     */
    apply(entry: LogEntry): readonly ClaimDecision[] {
        if (entry.offset <= this.#offset) {
            return [];
        }
        this.#offset = entry.offset;
        this.#logTime = Math.max(this.#logTime, entry.time);
        this.#expire();
        if (entry.record.kind !== claimsKind) {
            return [];
        }
        const body = claimsBodySchema.safeParse(entry.record.body);
        if (!body.success) {
            return [];
        }
        const isRepeat = this.#recordIds.has(entry.record.id);
        this.#recordIds.set(entry.record.id, this.#recordIds.get(entry.record.id) ?? this.#logTime);
        const decisions: ClaimDecision[] = [];
        for (const operation of body.data.operations) {
            if (!isRepeat) {
                this.#applyOperation(operation);
            }
            decisions.push(this.decide(operation));
        }
        return decisions;
    }

    /**
     * Tells how an operation stands by the present state, without changing it.
     * @param operation - The operation.
     */
    decide(operation: ClaimOperation): ClaimDecision {
        const { kind, id, key } = operation;
        if (this.#endedClaims.has(id)) {
            return { kind, id, verdict: "released", value: operation.value };
        }
        const holding = this.get(key);
        const hasEnded = kind !== "claim" && holding?.id !== id;
        if (holding === undefined || hasEnded) {
            return { kind, id, verdict: "released", value: operation.value };
        }
        if (holding.outcome !== undefined) {
            return { kind, id, verdict: "completed", value: holding.value, outcome: holding.outcome };
        }
        return { kind, id, verdict: holding.id === id ? "granted" : "held", value: holding.value };
    }

    /**
     * Returns the share of its lifetime that a pin has spent since its last use in the log.
     * @param key - The pin's key.
     * @param elapsedMilliseconds - Time that has passed since the last folded entry.
     */
    getPinAgeFraction(key: string, elapsedMilliseconds: number): number {
        const holding = this.#pins.get(key);
        const age = this.#logTime + elapsedMilliseconds - (holding?.time ?? Number.NEGATIVE_INFINITY);
        return age / this.#lifetimes.pinMilliseconds;
    }

    /**
     * Returns the state as parts of a snapshot that each fit into a record.
     * @param snapshot - Identifier of the snapshot.
     * @param maxItemsPerPart - The most holdings, or remembered identifiers, in a part.
     * @param maxBytesPerPart - The most bytes of holdings in a part.
     */
    createSnapshot(snapshot: string, maxItemsPerPart: number, maxBytesPerPart: number): readonly ClaimsSnapshotPart[] {
        const chunks = [
            ...splitHoldings([...this.#runs, ...this.#pins], maxItemsPerPart, maxBytesPerPart)
                .map(holdings => ({ holdings, endedClaims: [], recordIds: [] })),
            ...split([...this.#endedClaims], maxItemsPerPart)
                .map(endedClaims => ({ holdings: [], endedClaims, recordIds: [] })),
            ...split([...this.#recordIds], maxItemsPerPart)
                .map(recordIds => ({ holdings: [], endedClaims: [], recordIds })),
        ];
        const parts = chunks.length === 0 ? [{ holdings: [], endedClaims: [], recordIds: [] }] : chunks;
        return parts.map((content, part) => ({
            snapshot,
            covers: this.#offset,
            part,
            parts: parts.length,
            logTime: this.#logTime,
            ...content,
        }));
    }

    /**
     * Creates a fold from all parts of a snapshot.
     * @param parts - The parts, in any order.
     * @param lifetimes - How long things are kept.
     */
    static fromSnapshot(parts: readonly ClaimsSnapshotPart[], lifetimes: ClaimLifetimes = defaultLifetimes): ClaimFold {
        const fold = new ClaimFold(lifetimes);
        for (const part of [...parts].sort((left, right) => left.part - right.part)) {
            fold.#offset = part.covers;
            fold.#logTime = part.logTime;
            for (const { key, ...holding } of part.holdings) {
                fold.#getHoldings(key).set(key, holding);
            }
            for (const [id, time] of part.endedClaims) {
                fold.#endedClaims.set(id, time);
            }
            for (const [id, time] of part.recordIds) {
                fold.#recordIds.set(id, time);
            }
        }
        return fold;
    }

    #getHoldings(key: string): Map<string, Holding> {
        return getPurpose(key) === "pin" ? this.#pins : this.#runs;
    }

    #applyOperation(operation: ClaimOperation): void {
        switch (operation.kind) {
            case "claim":
                this.#claim(operation);
                return;
            case "release":
                this.#release(operation);
                return;
            case "complete":
                this.#complete(operation);
        }
    }

    #claim({ id, key, value }: ClaimOperation): void {
        // Two collectors may have written the same claim. If its claimant released it in between, the late one must
        // not take the key again: nobody would be left to release it, and its callers would read "in progress" until
        // the key expires.
        if (this.#endedClaims.has(id)) {
            return;
        }
        const holdings = this.#getHoldings(key);
        const holding = holdings.get(key);
        if (holding === undefined) {
            holdings.set(key, { id, value, time: this.#logTime });
        }
        else if (getPurpose(key) === "pin") {
            holdings.delete(key);
            holdings.set(key, { ...holding, time: this.#logTime });
        }
    }

    #release({ id, key }: ClaimOperation): void {
        // Another entry may already have read the pin and answered its caller from that version. Giving it back would
        // let the next request of the session pin another one.
        if (getPurpose(key) === "pin") {
            return;
        }
        const holdings = this.#getHoldings(key);
        const holding = holdings.get(key);
        // A completed run stays: releasing it would let the key run a second time.
        if (holding?.id === id && holding.outcome !== undefined) {
            return;
        }
        if (holding?.id === id) {
            holdings.delete(key);
        }
        this.#endedClaims.delete(id);
        this.#endedClaims.set(id, this.#logTime);
    }

    #complete({ id, key, outcome }: ClaimOperation): void {
        const holdings = this.#getHoldings(key);
        const holding = holdings.get(key);
        if (holding?.id !== id || holding.outcome !== undefined) {
            return;
        }
        holdings.set(key, { ...holding, outcome: outcome ?? "" });
    }

    #expire(): void {
        expireHoldings(this.#runs, this.#logTime - this.#lifetimes.runMilliseconds);
        expireHoldings(this.#pins, this.#logTime - this.#lifetimes.pinMilliseconds);
        expireTimes(this.#endedClaims, this.#logTime - this.#lifetimes.deduplicationMilliseconds);
        expireTimes(this.#recordIds, this.#logTime - this.#lifetimes.deduplicationMilliseconds);
    }
}

function expireHoldings(holdings: Map<string, Holding>, before: number): void {
    for (const [key, holding] of holdings) {
        if (holding.time >= before) {
            return;
        }
        holdings.delete(key);
    }
}

function expireTimes(times: Map<string, number>, before: number): void {
    for (const [id, time] of times) {
        if (time >= before) {
            return;
        }
        times.delete(id);
    }
}

function split<T>(items: readonly T[], size: number): T[][] {
    const chunks: T[][] = [];
    for (let start = 0; start < items.length; start += size) {
        chunks.push(items.slice(start, start + size));
    }
    return chunks;
}

function splitHoldings(
    holdings: readonly (readonly [string, Holding])[],
    maxItemsPerPart: number,
    maxBytesPerPart: number,
): (Holding & { key: string; })[][] {
    const chunks: (Holding & { key: string; })[][] = [];
    let chunk: (Holding & { key: string; })[] = [];
    let bytes = 0;
    for (const [key, holding] of holdings) {
        const size = Buffer.byteLength(JSON.stringify({ key, ...holding }));
        if (chunk.length > 0 && (chunk.length >= maxItemsPerPart || bytes + size > maxBytesPerPart)) {
            chunks.push(chunk);
            chunk = [];
            bytes = 0;
        }
        chunk.push({ key, ...holding });
        bytes += size;
    }
    return chunk.length === 0 ? chunks : [...chunks, chunk];
}
