import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { type ClaimVerdict, createRunKey, defaultLifetimes, getPartition } from "../../src/claims/index.js";
import { RandomSource } from "../../src/common/index.js";
import type { LogEntry, LogRecord } from "../../src/log/index.js";
import { type ClaimNode, type ClaimNodeOptions, claimPartitions, createClaimNode } from "../fixtures/claimNodes.js";
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

function isRelease(record: LogRecord): boolean {
    return JSON.stringify(record.body).includes("\"kind\":\"release\"");
}

function setLogAvailable(log: MemoryLog, isAvailable: boolean): void {
    log.decideOutcome = () => isAvailable ? "taken" : "dropped";
    log.isReadingBlocked = !isAvailable;
    log.wakeReaders();
}

/** Creates a node that does not receive the collector's answer to its claim, after which nobody reaches the log. */
function createClaimantThatLosesLog(log: MemoryLog, collector: ClaimNode): ClaimNode {
    let isLost = false;
    return createNode({
        log,
        name: "claimant",
        collector,
        isAnswerLost: () => {
            if (isLost) {
                return false;
            }
            isLost = true;
            setLogAvailable(log, false);
            return true;
        },
        decisionTimeoutMilliseconds: 100,
    });
}

function hasAnyRecord(log: MemoryLog): boolean {
    return log.getEntries("claims-0").length + log.getEntries("claims-1").length > 0;
}

describe("ClaimClient", () => {
    afterEach(async () => {
        await Promise.all(nodes.splice(0).map(node => node.stop()));
    });

    describe("claim", () => {
        it("grants a free key, and returns its holder to the next caller", async () => {
            const log = new MemoryLog();
            const node = createNode({ log });
            expect((await claim(node, "r1"))?.kind).toEqual("granted");
            const second = await claim(node, "r2");
            expect(second).toEqual({ kind: "held", value: "r1", outcome: undefined });
        });

        // Guards against a second run: a caller retries with the same request identifier at another entry while its
        // first attempt is in progress. If the request identifier identified the holder, the label would be printed
        // twice.
        it("does not grant a key twice to the same request identifier", async () => {
            const log = new MemoryLog();
            const first = createNode({ log, name: "first" });
            const second = createNode({ log, name: "second" });
            const verdicts = await Promise.all([claim(first, "same"), claim(second, "same")]);
            expect(verdicts.map(verdict => verdict?.kind).sort()).toEqual(["granted", "held"]);
        });

        // Guards against a key that is held without a claimant: the connection to the log drops after the claim was
        // written. If that counted as a failure, no claimant would use the key; if the claim were written again under
        // another identifier, the claimant would lose to itself.
        it("reads its claim back after a lost acknowledgement", async () => {
            const log = new MemoryLog();
            log.decideOutcome = () => "lost";
            expect((await claim(createNode({ log }), "r1"))?.kind).toEqual("granted");
        });

        // Guards against needless refusals: the request with the claim was lost, not its response. Without another
        // append, the caller would be refused although the log is available.
        it("appends its claim again when the first append was lost", async () => {
            const log = new MemoryLog();
            const outcomes = ["dropped", "overloaded"] as const;
            let appends = 0;
            log.decideOutcome = () => outcomes[appends++] ?? "taken";
            expect((await claim(createNode({ log }), "r1"))?.kind).toEqual("granted");
        });

        // Guards against needless refusals: the collector decides, but its answer is lost. The claimant then uses its
        // own collector, and the caller only notices the delay.
        it("obtains its grant through its own collector when the answer of the other one was lost", async () => {
            const log = new MemoryLog();
            const collector = createNode({ log, name: "collector" });
            const node = createNode({ log, name: "claimant", collector, isAnswerLost: () => true });
            expect((await claim(node, "r1"))?.kind).toEqual("granted");
            expect((await claim(collector, "r2"))?.kind).toEqual("held");
        });

        // Guards against a wrong "not run": the log is unavailable, the caller is refused, and the failure must not
        // state that nothing was written when a record may have been.
        it("reports whether the claim may be in the log", async () => {
            const cases = [["overloaded", false], ["dropped", true]] as const;
            for (const [outcome, mayHaveTakenEffect] of cases) {
                const log = new MemoryLog();
                let appends = 0;
                log.decideOutcome = () => {
                    appends += 1;
                    return outcome;
                };
                // The claim fails while no append is in flight; an append in flight would count as written.
                log.retryAfterMilliseconds = 60_000;
                const node = createNode({ log });
                const claiming = node.client.claim({ key, value: "r1", requestId: "r1" });
                await waitUntil(() => appends > 0, "the claim was sent");
                await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
                await node.pool.stop();
                expect((await claiming)._unsafeUnwrapErr().mayHaveTakenEffect).toEqual(mayHaveTakenEffect);
            }
        });

        // Guards against a key that stays held: the claim was written, but the claimant could not read the log and gave
        // up without dispatching. Until its release arrives, others read "in progress"; afterwards the key must be free
        // again.
        it("releases a claim that it abandoned", async () => {
            const log = new MemoryLog();
            const node = createNode({ log, name: "cut", decisionTimeoutMilliseconds: 1_000 });
            const other = createNode({ log, name: "other" });
            log.isReadingBlocked = true;
            expect(await claim(node, "r1")).toEqual(undefined);
            expect(hasAnyRecord(log)).toEqual(true);
            log.decideOutcome = record => JSON.stringify(record.body).includes("\"release\"") ? "overloaded" : "taken";
            log.isReadingBlocked = false;
            log.wakeReaders();
            expect((await claim(other, "r2"))?.kind).toEqual("held");
            log.decideOutcome = () => "taken";
            await waitUntil(async () => (await claim(other, "r3"))?.kind === "granted", "the key is free");
        });

        // Guards against an unknown outcome of a call that certainly did not run: the collector's answer is lost, and the
        // log becomes unavailable before the claimant can release its claim.
        it("refuses the next attempt as not run while the release of an abandoned claim cannot be written", async () => {
            const log = new MemoryLog();
            const collector = createNode({ log, name: "collector" });
            const claimant = createClaimantThatLosesLog(log, collector);
            const other = createNode({ log, name: "other", collector, decisionTimeoutMilliseconds: 100 });
            expect(await claim(claimant, "r1")).toEqual(undefined);
            expect(hasAnyRecord(log)).toEqual(true);
            expect(await claim(other, "r2")).toEqual(undefined);
            setLogAvailable(log, true);
            await waitUntil(async () => (await claim(other, "r3"))?.kind === "granted", "the key is free");
        });

        // Guards against an unknown outcome of a call that certainly did not run: the log stops, neither the collector nor
        // the claimant reads the claim any more, and a third entry has read it.
        it("refuses the next attempt as not run at an entry that has read the abandoned claim", async () => {
            const log = new MemoryLog();
            const unreadableLog = {
                append: log.append,
                follow: () => ({ start: () => {}, stop: () => Promise.resolve() }),
            };
            const decisionTimeoutMilliseconds = 100;
            const collector = createNode({ log: unreadableLog, name: "collector", decisionTimeoutMilliseconds });
            const claimant = createNode({
                log: unreadableLog,
                name: "claimant",
                collector,
                decisionTimeoutMilliseconds,
            });
            const other = createNode({ log, name: "other", collector, decisionTimeoutMilliseconds });
            const partition = getPartition(key, claimPartitions);
            other.pool.get(partition);
            log.decideOutcome = record => isRelease(record) ? "dropped" : "taken";
            expect(await claim(claimant, "r1")).toEqual(undefined);
            const isHeldAtOther = async () => {
                const operation = { kind: "claim", id: "probe", key, value: "probe" } as const;
                const [local] = await other.pool.decide(partition, [operation]);
                return local.decision?.verdict === "held";
            };
            await waitUntil(isHeldAtOther, "the other entry has read the claim");
            log.decideOutcome = () => "dropped";
            expect(await claim(other, "r2")).toEqual(undefined);
        });

        // Guards against a key that stays held for a day: the claimant is replaced before the log accepts its release.
        it("writes the release of an abandoned claim when its claimant is gone", async () => {
            const log = new MemoryLog();
            const collector = createNode({ log, name: "collector", decisionTimeoutMilliseconds: 100 });
            const claimant = createClaimantThatLosesLog(log, collector);
            expect(await claim(claimant, "r1")).toEqual(undefined);
            await claimant.stop();
            expect(await claim(collector, "r2")).toEqual(undefined);
            // The releases that the collector has tried to write so far time out.
            collector.clock.advance(60_000);
            setLogAvailable(log, true);
            await waitUntil(async () => (await claim(collector, "r3"))?.kind === "granted", "the key is free");
        });

        // Guards against lost and repeated runs. If an entry dies before it has written its claim, the next attempt
        // must run. If it dies afterwards, it is unknown whether it dispatched, so the next attempt must neither run
        // nor report that the first one did not.
        it("frees the key of an entry that died before the write, but not after it", async () => {
            for (const [outcome, expected] of [["overloaded", "granted"], ["taken", "held"]] as const) {
                const log = new MemoryLog();
                log.decideOutcome = record => record.writer === "dying" ? outcome : "taken";
                const dying = createNode({ log, name: "dying", decisionTimeoutMilliseconds: 100 });
                const attempt = claim(dying, "r1");
                await waitUntil(() => outcome === "overloaded" || hasAnyRecord(log), "the claim was sent");
                await dying.stop();
                await attempt;
                const next = await claim(createNode({ log, name: "next" }), "r1");
                expect(next?.kind).toEqual(expected);
            }
        });

        // Guards against a late write: the collector is paused with a batch for longer than its callers wait. They have
        // received "not run" since, so the batch must not be appended after the pause.
        it("does not append operations that have timed out", async () => {
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
        // Guards against a second run: a claimant is paused right after its grant. After the pause it must not rely on
        // the grant, since the key may have expired and another entry may have printed the label.
        it("reads the log again when the grant is no longer valid", async () => {
            const log = new MemoryLog();
            const node = createNode({ log, name: "paused" });
            const grant = await claimOrThrow(node, "r1");
            expect(grant.isStillValid()).toEqual(true);
            node.clock.advance(60_000);
            expect(grant.isStillValid()).toEqual(false);
            const confirmed = (await node.client.confirm(grant))._unsafeUnwrap();
            expect(confirmed.kind).toEqual("granted");
        });

        it("detects that the key has expired and run elsewhere", async () => {
            const log = new MemoryLog();
            const node = createNode({ log, name: "paused" });
            const other = createNode({ log, name: "other" });
            const grant = await claimOrThrow(node, "r1");
            log.time = defaultLifetimes.runMilliseconds + 1;
            // Records of others advance the log's time.
            await claim(other, "tick-0", createRunKey("dalisay", "tick-0"));
            await claim(other, "tick-1", createRunKey("dalisay", "tick-1"));
            await claim(other, "tick-2", createRunKey("dalisay", "tick-2"));
            await claim(other, "tick-3", createRunKey("dalisay", "tick-3"));
            const otherGrant = await claimOrThrow(other, "r2");
            await other.client.complete({ ...otherGrant, outcome: "printed" });
            const confirmed = (await node.client.confirm(grant))._unsafeUnwrap();
            expect(confirmed).toEqual({ kind: "completed", value: "r2", outcome: "printed" });
        });
    });

    describe("confirm after a pause of the whole process", () => {
        // Guards against a second run: the claimant and its reader were paused together for longer than the lifetime of
        // the key, and the key ran elsewhere. The fold of the claimant still shows its claim, so a decision from it would
        // run the key again.
        it("does not rely on its own outdated state", async () => {
            const log = new MemoryLog();
            const heldEntries: (() => void)[] = [];
            let isPaused = false;
            const paused = createNode({
                name: "paused",
                log: {
                    append: log.append,
                    follow: options => {
                        const onEntry = (entry: LogEntry) =>
                            isPaused ? void heldEntries.push(() => options.onEntry(entry)) : options.onEntry(entry);
                        return log.follow({ ...options, onEntry });
                    },
                },
            });
            const grant = await claimOrThrow(paused, "r1");
            isPaused = true;
            log.time = defaultLifetimes.runMilliseconds + 1;
            const other = createNode({ log, name: "other" });
            // The other entry reads the key as held until a record advances the log's time.
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
            for (const release of heldEntries.splice(0)) {
                release();
            }
            expect((await confirming)._unsafeUnwrap()).toEqual({ kind: "completed", value: "r2", outcome: "p" });
        });
    });

    describe("release", () => {
        it("frees the key for the next claim", async () => {
            const log = new MemoryLog();
            const node = createNode({ log });
            const grant = await claimOrThrow(node, "r1");
            expect((await node.client.release(grant)).isOk()).toEqual(true);
            expect((await claim(node, "r2"))?.kind).toEqual("granted");
        });
    });

    describe("complete", () => {
        it("returns the outcome to later callers at any entry, without its text when it is too long", async () => {
            for (const [outcome, expectedOutcome] of [["printed", "printed"], ["x".repeat(20_000), ""]]) {
                const log = new MemoryLog();
                const first = createNode({ log, name: "first" });
                const grant = await claimOrThrow(first, "r1");
                await first.client.complete({ ...grant, outcome });
                const second = await claim(createNode({ log, name: "second" }), "r2");
                expect(second).toEqual({ kind: "completed", value: "r1", outcome: expectedOutcome });
            }
        });
    });

    describe("under random faults", () => {
        // Guards against a second run: four entries race for the same keys, appends are rejected, dropped, or accepted
        // without a response, and every entry collects for itself. The test counts the grants of each key, as a plain
        // service would count its runs.
        it("never runs a key twice", async () => {
            let keysRun = 0;
            for (let seed = 1; seed <= 12; seed += 1) {
                const random = new RandomSource(seed);
                const log = new MemoryLog();
                const outcomes = ["taken", "taken", "lost", "dropped", "overloaded"] as const;
                log.decideOutcome = () => outcomes[random.nextInteger(outcomes.length)];
                const entries = ["a", "b", "c", "d"].map(name =>
                    createNode({ log, name, decisionTimeoutMilliseconds: 1_500 })
                );
                const runs = new Map<string, number>();
                const attempts = [];
                for (let index = 0; index < 40; index += 1) {
                    const runKey = createRunKey("dalisay", `label-${index % 5}`);
                    const entry = entries[random.nextInteger(entries.length)];
                    attempts.push(
                        claim(entry, `r${index}`, runKey).then(verdict => {
                            if (verdict?.kind === "granted") {
                                runs.set(runKey, (runs.get(runKey) ?? 0) + 1);
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
