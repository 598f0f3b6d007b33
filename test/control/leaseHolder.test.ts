import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, RandomSource } from "../../src/common/index.js";
import { LeaseFold, LeaseHolder } from "../../src/control/index.js";
import { createJournal } from "../fixtures/journals.js";
import { MemoryLog } from "../fixtures/memoryLog.js";

const term = 1_000;
const drift = 100;
const name = "control";

interface Candidate {
    readonly holder: LeaseHolder;
    readonly fold: LeaseFold;
    readonly clock: ManualClock;
    isDisconnected: boolean;
}

/** Creates a node that tries to take the lease. It observes the lease at once, and the test calls `check`. */
function createCandidate(log: MemoryLog, id: string): Candidate {
    const clock = new ManualClock();
    const fold = new LeaseFold();
    const candidate: Candidate = {
        clock,
        fold,
        isDisconnected: false,
        holder: new LeaseHolder({
            name,
            holder: id,
            append: (stream, record) => log.append(stream, record),
            fold,
            clock,
            journal: createJournal(id).journal,
            termMilliseconds: term,
            driftMilliseconds: drift,
        }),
    };
    return candidate;
}

/** Applies the entries of the log to the folds of nodes. */
function read(log: MemoryLog, ...candidates: Candidate[]): void {
    for (const { fold } of candidates) {
        for (const entry of log.getEntries(name)) {
            fold.apply(entry);
        }
    }
}

async function check(log: MemoryLog, candidate: Candidate): Promise<void> {
    await candidate.holder.check();
    read(log, candidate);
}

async function createHeldLease(): Promise<{ log: MemoryLog; first: Candidate; second: Candidate; }> {
    const log = new MemoryLog();
    const [first, second] = ["a", "b"].map(id => createCandidate(log, id));
    await check(log, first);
    read(log, second);
    return { log, first, second };
}

function advance(milliseconds: number, ...candidates: Candidate[]): void {
    for (const { clock } of candidates) {
        clock.advance(milliseconds);
    }
}

describe("LeaseHolder", () => {
    describe("check", () => {
        it("takes a free lease and renews it before its term ends", async () => {
            const { log, first } = await createHeldLease();
            expect(first.holder.getFencingToken()).toEqual(0);
            for (let step = 0; step < 10; step += 1) {
                advance(term / 2, first);
                await check(log, first);
                expect(first.holder.getFencingToken()).toEqual(0);
            }
        });

        it("lets one of two concurrent takers hold it", async () => {
            const log = new MemoryLog();
            const candidates = ["a", "b"].map(id => createCandidate(log, id));
            await Promise.all(candidates.map(({ holder }) => holder.check()));
            read(log, ...candidates);
            expect(candidates.map(({ holder }) => holder.getFencingToken()).filter(fence => fence !== undefined))
                .toEqual([0]);
        });

        it("waits for the term and the drift before it takes another's lease", async () => {
            const { log, first, second } = await createHeldLease();
            advance(term + drift, first, second);
            await check(log, second);
            expect(second.holder.getFencingToken()).toEqual(undefined);
            advance(1, first, second);
            await check(log, second);
            expect(second.holder.getFencingToken()).toEqual(1);
        });

        it("takes a lease known from a snapshot only, after observing it for the term and the drift", async () => {
            const { log, first } = await createHeldLease();
            const fresh = createCandidate(log, "fresh");
            fresh.fold.restore(first.fold.getOffset(), first.fold.getSnapshot());
            await check(log, fresh);
            advance(term + drift + 1, fresh);
            await check(log, fresh);
            expect(fresh.holder.getFencingToken()).toEqual(1);
        });

        // The renewal was written but its acknowledgement was lost. The holder reads the renewal back and continues.
        // The other node reads it too and waits.
        it("continues to hold it when the acknowledgement of its renewal was lost", async () => {
            const { log, first, second } = await createHeldLease();
            log.decideOutcome = () => "lost";
            advance(term / 2, first, second);
            await check(log, first);
            read(log, second);
            advance(term * 0.9, first, second);
            await second.holder.check();
            expect(first.holder.getFencingToken()).toEqual(0);
            expect(log.getEntries(name).length).toEqual(2);
        });
    });

    describe("getFencingToken", () => {
        // Guards against two holders: a holder is paused for longer than its term while another node takes the lease.
        // At its first check afterwards, before it has read anything, it must not assume that it still holds the lease.
        it("is undefined for a holder that was paused past its term", async () => {
            const { log, first, second } = await createHeldLease();
            advance(term + drift + 1, first, second);
            expect(first.holder.getFencingToken()).toEqual(undefined);
            await check(log, second);
            expect(second.holder.getFencingToken()).toEqual(1);
            await check(log, first);
            expect(first.holder.getFencingToken()).toEqual(undefined);
        });

        // The append takes longer than the term, or the holder is paused between the append and reading the record
        // back. That time counts too, since the others have been waiting since they read the record.
        it("counts the validity from before the append", async () => {
            const { log, first } = await createHeldLease();
            log.onAppended = () => first.clock.advance(term * 0.6);
            advance(term * 0.5, first);
            await check(log, first);
            expect(first.holder.getFencingToken()).toEqual(0);
            advance(term * 0.4, first);
            expect(first.holder.getFencingToken()).toEqual(undefined);
        });

        it("is undefined on all nodes while the log is unavailable, and one node holds it afterwards", async () => {
            const { log, first, second } = await createHeldLease();
            log.decideOutcome = () => "dropped";
            for (let step = 0; step < 40; step += 1) {
                advance(term / 10, first, second);
                await check(log, first);
                await check(log, second);
            }
            expect([first, second].map(({ holder }) => holder.getFencingToken())).toEqual([undefined, undefined]);
            log.decideOutcome = () => "taken";
            await check(log, first);
            await check(log, second);
            const held = [first, second].filter(({ holder }) => holder.getFencingToken() !== undefined);
            expect(held.length).toEqual(1);
        });
    });

    describe("stop", () => {
        it("releases the lease for the next holder at once", async () => {
            const { log, first, second } = await createHeldLease();
            await first.holder.stop();
            read(log, second);
            await check(log, second);
            expect([first.holder.getFencingToken(), second.holder.getFencingToken()]).toEqual([undefined, 2]);
        });
    });

    describe("under random pauses and disconnections", () => {
        // The clocks of three nodes run at the same rate, but the nodes pause, are disconnected from reading or lose
        // appends at random. Two of them must never hold the lease at the same time, and one must hold it at some
        // times.
        it("never has two holders", async () => {
            for (let seed = 1; seed <= 60; seed += 1) {
                const random = new RandomSource(seed);
                const log = new MemoryLog();
                const outcomes = ["taken", "taken", "taken", "lost", "dropped"] as const;
                log.decideOutcome = () => outcomes[random.nextInteger(outcomes.length)];
                const candidates = ["a", "b", "c"].map(id => createCandidate(log, id));
                log.onAppended = () => advance(random.nextInteger(300), ...candidates);
                let held = 0;
                for (let step = 0; step < 150; step += 1) {
                    advance(random.nextInteger(200), ...candidates);
                    const candidate = candidates[random.nextInteger(candidates.length)];
                    candidate.isDisconnected = random.next() < 0.3;
                    await candidate.holder.check();
                    read(log, ...candidates.filter(({ isDisconnected }) => !isDisconnected));
                    const holders = candidates.filter(({ holder }) => holder.getFencingToken() !== undefined);
                    expect(holders.length <= 1).toEqual(true);
                    held += holders.length;
                }
                expect(held > 0).toEqual(true);
            }
        });
    });
});
