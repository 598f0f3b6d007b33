import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type ClaimVerdict, createRunKey, defaultLifetimes, SessionPins } from "../../src/claims/index.js";
import { RandomSource } from "../../src/common/index.js";
import type { LogEntry } from "../../src/log/index.js";
import { type ClaimNode, type ClaimNodeOptions, createClaimNode } from "../fixtures/claimNodes.js";
import { MemoryLog } from "../fixtures/memoryLog.js";
import { waitUntil } from "../fixtures/waiting.js";

const key = createRunKey("dalisay", "label-1");
const nodes: ClaimNode[] = [];

function createNode(options: ClaimNodeOptions): ClaimNode {
    const node = createClaimNode(options);
    nodes.push(node);
    return node;
}

async function claim(node: ClaimNode, requestId: string, requestedKey = key): Promise<ClaimVerdict | undefined> {
    const claimed = await node.client.claim({ key: requestedKey, value: requestId, requestId });
    return claimed.unwrapOr(undefined);
}

async function claimOrThrow(node: ClaimNode, requestId: string): Promise<ClaimVerdict & { kind: "granted"; }> {
    const verdict = await claim(node, requestId);
    if (verdict?.kind !== "granted") {
        throw new Error(`not granted: ${verdict?.kind}`);
    }
    return verdict;
}

function hasAnyRecord(log: MemoryLog): boolean {
    return log.getEntries("claims-0").length + log.getEntries("claims-1").length > 0;
}

describe("ClaimClient", () => {
    afterEach(async () => {
        await Promise.all(nodes.splice(0).map(node => node.stop()));
    });

    describe("claim", () => {
        it("grants a free key and tells the next caller who holds it", async () => {
            const log = new MemoryLog();
            const node = createNode({ log });
            expect((await claim(node, "r1"))?.kind).toEqual("granted");
            const second = await claim(node, "r2");
            expect(second).toEqual({ kind: "held", value: "r1", outcome: undefined });
        });

        // A caller retries with the same request identifier at another entry while its first attempt is under way. Were
        // the identifier enough to be taken for the holder, the label would be printed twice.
        it("does not grant a key twice to the same request identifier", async () => {
            const log = new MemoryLog();
            const first = createNode({ log, name: "first" });
            const second = createNode({ log, name: "second" });
            const verdicts = await Promise.all([claim(first, "same"), claim(second, "same")]);
            expect(verdicts.map(verdict => verdict?.kind).sort()).toEqual(["granted", "held"]);
        });

        // The connection to the log drops after the claim was written. Taken for a failure, the key would stay held by
        // nobody; written again under another identifier, the claimant would lose to itself.
        it("reads its claim back when the acknowledgement was lost", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "lost";
            expect((await claim(createNode({ log }), "r1"))?.kind).toEqual("granted");
        });

        // The request that carried the claim was lost, not its answer. The claimant must ask again, or its caller is
        // refused although the log is there.
        it("appends its claim again when the first append was lost on the way", async () => {
            const log = new MemoryLog();
            const fates = ["dropped", "overloaded"] as const;
            let appends = 0;
            log.decideOutcome = () => fates[appends++] ?? "taken";
            expect((await claim(createNode({ log }), "r1"))?.kind).toEqual("granted");
        });

        // The collector decides, but its answer does not arrive. The claimant asks again through its own collector; the
        // caller notices nothing but the time.
        it("gets its grant through its own collector when the other's answer was lost", async () => {
            const log = new MemoryLog();
            const collector = createNode({ log, name: "collector" });
            const node = createNode({ log, name: "claimant", collector, isAnswerLost: () => true });
            expect((await claim(node, "r1"))?.kind).toEqual("granted");
            expect((await claim(collector, "r2"))?.kind).toEqual("held");
        });

        // The log is away. The caller is refused, and the failure must not say that nothing was written when something
        // may have been.
        it("tells truthfully whether the claim may stand in the log", async () => {
            const cases = [["overloaded", false], ["dropped", true]] as const;
            for (const [fate, mayHaveTakenEffect] of cases) {
                const log = new MemoryLog();
                let appends = 0;
                log.decideOutcome = () => {
                    appends += 1;
                    return fate;
                };
                // The claim ends while no append is under way: what is in flight would have to count as written.
                log.retryAfterMilliseconds = 60_000;
                const node = createNode({ log });
                const claiming = node.client.claim({ key, value: "r1", requestId: "r1" });
                await waitUntil(() => appends > 0, "the claim was sent");
                await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
                await node.pool.stop();
                expect((await claiming)._unsafeUnwrapErr().mayHaveTakenEffect).toEqual(mayHaveTakenEffect);
            }
        });

        // The claim was written, but the claimant was cut off from reading and gave up without dispatching. Until its
        // release arrives, others read "in progress"; afterwards the key must be free again.
        it("releases a claim that it gave up", async () => {
            const log = new MemoryLog();
            const node = createNode({ log, name: "cut", decideMilliseconds: 1_000 });
            const other = createNode({ log, name: "other" });
            log.isReadingBlocked = true;
            expect(await claim(node, "r1")).toEqual(undefined);
            expect(hasAnyRecord(log)).toEqual(true);
            log.isReadingBlocked = false;
            log.wakeReaders();
            expect((await claim(other, "r2"))?.kind).toEqual("held");
            await waitUntil(async () => (await claim(other, "r3"))?.kind === "granted", "the key is free");
        });

        // An entry dies before it has written its claim: the next attempt must run. It dies after: nobody can know
        // whether it dispatched, so the next attempt must neither run nor be told that the first did not.
        it("frees the key of an entry that died before the write, and not after it", async () => {
            for (const [fate, expected] of [["overloaded", "granted"], ["taken", "held"]] as const) {
                const log = new MemoryLog();
                log.decideOutcome = record => record.writer === "dying" ? fate : "taken";
                const dying = createNode({ log, name: "dying", decideMilliseconds: 100 });
                const attempt = claim(dying, "r1");
                await waitUntil(() => fate === "overloaded" || hasAnyRecord(log), "the claim was sent");
                await dying.stop();
                await attempt;
                const next = await claim(createNode({ log, name: "next" }), "r1");
                expect(next?.kind).toEqual(expected);
            }
        });

        // The collector is paused with a batch in hand, longer than its callers wait, and wakes. Their callers were told
        // long ago that this entry did not run them; the batch must not go out any more.
        it("does not append operations whose time is over", async () => {
            const log = new MemoryLog();
            const node = createNode({ log });
            log.decideOutcome = () => {
                node.clock.advance(60_000);
                return "overloaded";
            };
            const attempt = claim(node, "r1");
            await waitUntil(() => node.clock.monotonic() > 0, "the first append was refused");
            log.decideOutcome = () => "taken";
            expect(await attempt).toEqual(undefined);
            expect(hasAnyRecord(log)).toEqual(false);
        });
    });

    describe("confirm", () => {
        // A claimant is paused right after it was granted the key. When it wakes it must not trust the grant: its key
        // may have expired, and another entry may have printed the label.
        it("asks the log again after the grant has lapsed", async () => {
            const log = new MemoryLog();
            const node = createNode({ log, name: "paused" });
            const grant = await claimOrThrow(node, "r1");
            expect(grant.isStillValid()).toEqual(true);
            node.clock.advance(60_000);
            expect(grant.isStillValid()).toEqual(false);
            const confirmed = (await node.client.confirm(grant))._unsafeUnwrap();
            expect(confirmed.kind).toEqual("granted");
        });

        it("finds that the key expired and ran elsewhere", async () => {
            const log = new MemoryLog();
            const node = createNode({ log, name: "paused" });
            const other = createNode({ log, name: "other" });
            const grant = await claimOrThrow(node, "r1");
            log.time = defaultLifetimes.runMilliseconds + 1;
            // The log's time moves on with the records of others.
            await claim(other, "tick-0", createRunKey("dalisay", "tick-0"));
            await claim(other, "tick-1", createRunKey("dalisay", "tick-1"));
            await claim(other, "tick-2", createRunKey("dalisay", "tick-2"));
            await claim(other, "tick-3", createRunKey("dalisay", "tick-3"));
            const taken = await claimOrThrow(other, "r2");
            await other.client.complete({ ...taken, outcome: "printed" });
            const confirmed = (await node.client.confirm(grant))._unsafeUnwrap();
            expect(confirmed).toEqual({ kind: "completed", value: "r2", outcome: "printed" });
        });
    });

    describe("confirm after a pause of the whole process", () => {
        // The claimant and its reader stood still together for longer than the key is kept, and the key ran elsewhere.
        // Its own state still shows its claim; believing that, it would run the key a second time.
        it("does not believe its own old state", async () => {
            const log = new MemoryLog();
            const held: (() => void)[] = [];
            let isPaused = false;
            const paused = createNode({
                name: "paused",
                log: {
                    append: log.append,
                    follow: options => {
                        const onEntry = (entry: LogEntry) =>
                            isPaused ? void held.push(() => options.onEntry(entry)) : options.onEntry(entry);
                        return log.follow({ ...options, onEntry });
                    },
                },
            });
            const grant = await claimOrThrow(paused, "r1");
            isPaused = true;
            log.time = defaultLifetimes.runMilliseconds + 1;
            const other = createNode({ log, name: "other" });
            // The other entry reads the key as held until a record moves the log's time on.
            for (const stream of ["claims-0", "claims-1"]) {
                log.put(stream, { id: `tick-${stream}`, kind: "tick", format: 1, writer: "test", body: {} });
            }
            await waitUntil(async () => {
                const verdict = await claim(other, "r2");
                return verdict?.kind === "granted"
                    && (await other.client.complete({ ...verdict, outcome: "p" })).isOk();
            }, "the key ran elsewhere");
            const confirming = paused.client.confirm(grant);
            await new Promise(resolve => setImmediate(resolve));
            isPaused = false;
            for (const release of held.splice(0)) {
                release();
            }
            expect((await confirming)._unsafeUnwrap()).toEqual({ kind: "completed", value: "r2", outcome: "p" });
        });
    });

    describe("release", () => {
        it("lets the next claim have the key", async () => {
            const log = new MemoryLog();
            const node = createNode({ log });
            const grant = await claimOrThrow(node, "r1");
            expect((await node.client.release(grant)).isOk()).toEqual(true);
            expect((await claim(node, "r2"))?.kind).toEqual("granted");
        });
    });

    describe("complete", () => {
        it("hands the outcome to later callers at any entry, without its text when it is too long", async () => {
            for (const [outcome, kept] of [["printed", "printed"], ["x".repeat(20_000), ""]]) {
                const log = new MemoryLog();
                const first = createNode({ log, name: "first" });
                const grant = await claimOrThrow(first, "r1");
                await first.client.complete({ ...grant, outcome });
                const second = await claim(createNode({ log, name: "second" }), "r2");
                expect(second).toEqual({ kind: "completed", value: "r1", outcome: kept });
            }
        });
    });

    describe("under random faults", () => {
        // Four entries race for the same keys while appends are refused, dropped, or taken without an answer, and every
        // entry collects for itself. Whoever is granted dispatches to a plain service, whose count is the judge.
        it("never runs a key twice", async () => {
            let keysRun = 0;
            for (let seed = 1; seed <= 12; seed += 1) {
                const random = new RandomSource(seed);
                const log = new MemoryLog();
                const fates = ["taken", "taken", "lost", "dropped", "overloaded"] as const;
                log.decideOutcome = () => fates[random.nextInteger(fates.length)];
                const entries = ["a", "b", "c", "d"].map(name => createNode({ log, name, decideMilliseconds: 1_500 }));
                const runs = new Map<string, number>();
                const attempts = [];
                for (let index = 0; index < 40; index += 1) {
                    const wanted = createRunKey("dalisay", `label-${index % 5}`);
                    const entry = entries[random.nextInteger(entries.length)];
                    attempts.push(
                        claim(entry, `r${index}`, wanted).then(verdict => {
                            if (verdict?.kind === "granted") {
                                runs.set(wanted, (runs.get(wanted) ?? 0) + 1);
                            }
                        }),
                    );
                }
                await Promise.all(attempts);
                expect([...runs].filter(([, count]) => count !== 1)).toEqual([]);
                keysRun += runs.size;
                await Promise.all(nodes.splice(0).map(node => node.stop()));
            }
            expect(keysRun > 0).toEqual(true);
        });
    });
});

describe("SessionPins", () => {
    describe("pin", () => {
        // Two first requests of a bench conversation arrive at two entries that propose different versions. Unless both
        // answer from the same one, the conversation changes its voice halfway.
        it("gives both entries the same version", async () => {
            const log = new MemoryLog();
            const pins = ["a", "b"].map(name => new SessionPins(createNode({ log, name }).client));
            const request = { workspace: "agenzia", session: "bench-1", requestId: "r" };
            const versions = await Promise.all([
                pins[0].pin({ ...request, proposal: "plan@1" }),
                pins[1].pin({ ...request, proposal: "plan@2" }),
            ]);
            expect(versions[0]._unsafeUnwrap()).toEqual(versions[1]._unsafeUnwrap());
            await Promise.all(nodes.splice(0).map(node => node.stop()));
        });

        // The log is away while a session goes on, and its pin is so old that its next use would renew it. The session
        // must go on with its version, but not with a pin that may have expired unseen.
        it("goes on with a known pin while the log is away, as long as the pin cannot have expired", async () => {
            const hour = 3_600_000;
            for (const [age, isKnown] of [[10 * hour, true], [40 * hour, true], [60 * hour, false]] as const) {
                const log = new MemoryLog();
                const node = createNode({ log, decideMilliseconds: 50 });
                const pins = new SessionPins(node.client);
                const request = { workspace: "agenzia", session: "bench-1", requestId: "r" };
                await pins.pin({ ...request, proposal: "plan@1" });
                log.decideOutcome = () => "dropped";
                node.clock.advance(age);
                const pinned = await pins.pin({ ...request, proposal: "plan@2" });
                expect(pinned.unwrapOr("unavailable")).toEqual(isKnown ? "plan@1" : "unavailable");
                await Promise.all(nodes.splice(0).map(stopped => stopped.stop()));
            }
        });
    });
});
