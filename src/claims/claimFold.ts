/**
 * The deterministic state of one partition of claims. Every reader of the same records has the same state, and the
 * first claim on a key in the order of the log wins.
 *
 * The fold uses the log service's time, as recorded in the entries, and never moves it back. With their own clocks,
 * readers would expire a key at different records and disagree about who was granted it.
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

/** Retention times, measured by the log's time. All nodes must use the same values. */
export interface ClaimLifetimes {
    /** How long a run's key is retained after the claim. Afterwards, the key may run again. */
    readonly runMilliseconds: number;
    /** How long a session's pin is retained after its last use in the log. */
    readonly pinMilliseconds: number;
    /** How long identifiers of records and of ended claims are retained to detect late repeats. */
    readonly deduplicationMilliseconds: number;
}

/** The default lifetimes. */
export const defaultLifetimes: ClaimLifetimes = {
    runMilliseconds: 24 * hourMilliseconds,
    pinMilliseconds: 72 * hourMilliseconds,
    deduplicationMilliseconds: hourMilliseconds,
};

/** The claim that holds a key. */
export interface Holding {
    readonly id: string;
    readonly value: string;
    /** Log time of the claim, or of the last renewal of a pin. */
    readonly time: number;
    readonly outcome?: string;
}

/** Folds the records of one partition. */
export class ClaimFold {
    readonly #lifetimes: ClaimLifetimes;
    /** Ordered by `time`, so that expiry only checks the front of each map. */
    readonly #runs = new Map<string, Holding>();
    readonly #pins = new Map<string, Holding>();
    readonly #endedClaims = new Map<string, number>();
    readonly #recordIds = new Map<string, number>();
    #logTime = 0;
    #offset = -1;

    constructor(lifetimes: ClaimLifetimes = defaultLifetimes) {
        this.#lifetimes = lifetimes;
    }

    /** Returns the offset of the last folded entry, or -1. */
    getOffset(): number {
        return this.#offset;
    }

    /** Returns the maximum log time of the folded entries. */
    getLogTime(): number {
        return this.#logTime;
    }

    /** Returns the number of held keys. */
    getSize(): number {
        return this.#runs.size + this.#pins.size;
    }

    /**
     * Returns the claim that holds a key.
     * @param key - The key.
     */
    get(key: string): Holding | undefined {
        return this.#getHoldings(key).get(key);
    }

    /**
     * Folds an entry. An entry at or before the folded offset is ignored, so the state only moves forward.
     * @param entry - The next entry of the partition.
     * @returns The decision on each operation of the entry.
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
     * Returns the decision on an operation by the current state, without changing the state.
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
     * Returns the time since the last use of a pin in the log, as a fraction of its lifetime.
     * @param key - The pin's key.
     * @param elapsedMilliseconds - Time since the last folded entry.
     */
    getPinAgeFraction(key: string, elapsedMilliseconds: number): number {
        const holding = this.#pins.get(key);
        const age = this.#logTime + elapsedMilliseconds - (holding?.time ?? Number.NEGATIVE_INFINITY);
        return age / this.#lifetimes.pinMilliseconds;
    }

    /**
     * Returns the state as parts of a snapshot, each of which fits into a record.
     * @param snapshot - Identifier of the snapshot.
     * @param maxItemsPerPart - Maximum number of holdings, or of identifiers, in a part.
     * @param maxBytesPerPart - Maximum bytes of holdings in a part.
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
     * @param lifetimes - Retention times.
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
        // Two collectors may have written the same claim. If its claimant released it in between, the late record must
        // not claim the key again: no claimant would release it, and callers would receive "in progress" until the key
        // expires.
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
        // Another entry may already have read the pin and answered its caller from that version. If the pin were
        // released, the next request of the session could pin another version.
        if (getPurpose(key) === "pin") {
            return;
        }
        const holdings = this.#getHoldings(key);
        const holding = holdings.get(key);
        // A completed run is retained: after a release, the key could run a second time.
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
