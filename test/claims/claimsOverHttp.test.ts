import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { createRunKey } from "../../src/claims/index.js";
import { RandomSource, systemClock } from "../../src/common/index.js";
import { LogClient, LogFollower } from "../../src/log/index.js";
import { AddressBlock, setFaults, waitUntil, withProcesses } from "../../src/testbench/index.js";
import { type ClaimNode, createClaimNode } from "../fixtures/claimNodes.js";
import { createJournal } from "../fixtures/journals.js";

const addresses = new AddressBlock("127.50.6");
const keys = 30;
const attempts = 150;

/** Creates a claim client of an entry that uses a log service over HTTP. */
function createNode(name: string, url: string, collector?: ClaimNode): ClaimNode {
    const clock = systemClock;
    const { journal } = createJournal(name);
    const client = new LogClient({ url, clock, timeoutMilliseconds: 300 });
    return createClaimNode({
        name,
        collector,
        decisionTimeoutMilliseconds: 700,
        log: {
            append: (stream, record) => client.append(stream, record),
            follow: options => new LogFollower({ ...options, client, clock, journal, waitMilliseconds: 200 }),
        },
    });
}

describe("claims over HTTP", () => {
    const running: ClaimNode[] = [];
    const stopLater = (nodes: readonly ClaimNode[]): void => {
        running.push(...nodes);
    };
    // Also runs after a failed test: a node that keeps reading the log would prevent the test process from exiting, so
    // the failure would not be printed.
    afterEach(async () => {
        await Promise.all(running.splice(0).map(node => node.stop()));
    });

    // Guards against a second run: three entries race for the same keys against a real log service that loses
    // acknowledgements and requests, has an outage, and is frozen for a short time.
    it("never grants a key twice while the log loses responses, has an outage and is frozen", async () => {
        await withProcesses(async group => {
            const log = await group.startStandin("log", addresses.next(), { lostAcknowledgementProbability: 0.2 });
            const url = `http://${log.getAddress()}`;
            const first = createNode("a", url);
            const nodes = [first, createNode("b", url, first), createNode("c", url)];
            stopLater(nodes);
            const random = new RandomSource(3);
            const runs = new Map<string, number>();
            const claimOnce = async (index: number) => {
                const key = createRunKey("dalisay", `label-${random.nextInteger(keys)}`);
                const node = nodes[random.nextInteger(nodes.length)];
                const claimed = await node.client.claim({ key, value: `r${index}`, requestId: `r${index}` });
                if (claimed.isOk() && claimed.value.kind === "granted") {
                    runs.set(key, (runs.get(key) ?? 0) + 1);
                }
            };
            const pending: Promise<void>[] = [];
            for (let index = 0; index < attempts; index += 1) {
                pending.push(claimOnce(index));
                if (index === 40) {
                    await setFaults(log.getAddress(), { lostAppends: 3 });
                }
                if (index === 80) {
                    log.pause();
                    await Promise.race(pending.slice(-1));
                    log.resume();
                }
                if (index % 10 === 0) {
                    await Promise.race([pending[index], new Promise(resolve => setTimeout(resolve, 20))]);
                }
            }
            await Promise.all(pending);
            expect([...runs.values()].every(count => count === 1)).toEqual(true);
            expect(runs.size > keys / 2).toEqual(true);
        });
    });

    // Guards against keys that stay held after an outage of the log: callers are refused during the outage, and the
    // keys of their abandoned claims must be released afterwards.
    it("frees keys of claims that were abandoned during an outage", async () => {
        await withProcesses(async group => {
            const log = await group.startStandin("log", addresses.next());
            const node = createNode("a", `http://${log.getAddress()}`);
            stopLater([node]);
            log.pause();
            const key = createRunKey("dalisay", "label-1");
            const refused = await node.client.claim({ key, value: "r1", requestId: "r1" });
            expect(refused._unsafeUnwrapErr().mayHaveTakenEffect).toEqual(true);
            log.resume();
            await waitUntil(async () => {
                const claimed = await node.client.claim({ key, value: "r2", requestId: "r2" });
                return claimed.isOk() && claimed.value.kind === "granted";
            }, { description: "the key to be free" });
        });
    });
});
