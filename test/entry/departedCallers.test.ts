import { expect } from "earl";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
    Caller,
    getApiKey,
    getJournal,
    metroManila,
    ProcessGroup,
    setFaults,
    Site,
    type SiteDescription,
    waitUntil,
} from "../../src/testbench/index.js";

const callers = 20;
/** How long a caller waits for an entry that does not read its request. */
const patienceMilliseconds = 300;
/** How long the entry reads nothing. */
const pauseMilliseconds = 1_000;
/** Longer than the time until the entry knows that a caller has left. */
const workMilliseconds = 1_500;

const description: SiteDescription = {
    ...metroManila,
    prefix: "127.60.21",
    entryCount: 1,
    runners: { name: "lm-pool", count: 2 },
    services: { name: "label-app", count: 2 },
};

interface Request {
    readonly path: string;
    readonly body: string;
}

const serviceCall: Request = { path: "/services/label-app/labels", body: "a tray" };
const chat: Request = {
    path: "/v1/chat/completions",
    body: JSON.stringify({ model: "auto", messages: [{ role: "user", content: "Does the glaze hold sesame?" }] }),
};

// Callers give up on an entry and close their connections.
describe("the product's own interface before callers that have left", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    const key = getApiKey("commissary");
    let site: Site;

    before(async () => {
        site = await Site.start(group, description);
        await expectHealthy();
    });

    after(async () => {
        await caller.close();
        await group.killAll();
    });

    async function expectHealthy(): Promise<void> {
        const entry = site.getEntries()[0].callerAddress;
        const record = await caller.chat({ entry, key, text: "Does the soy glaze hold sesame?" });
        const reply = await caller.callService({ entry, key, pool: "label-app", path: "/labels", body: "a tray" });
        expect([record.isComplete, reply.status]).toEqual([true, 200]);
    }

    async function open({ path, body }: Request): Promise<Socket> {
        const [host, port] = site.getEntries()[0].callerAddress.split(":");
        const socket = connect(Number(port), host);
        socket.resume();
        socket.on("error", () => {
            // The entry may reset the connection of a caller that has left.
        });
        await once(socket, "connect");
        socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\n`);
        socket.write(`content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
        return socket;
    }

    async function countRuns(): Promise<number> {
        let runs = 0;
        for (const [, upstream] of site.getUpstreams()) {
            runs += (await getJournal(upstream.getAddress())).length;
        }
        return runs;
    }

    for (const [name, request] of [["a plain call", serviceCall], ["a chat", chat]] as const) {
        // The entry is paused, and reads the requests and the ends of their connections together. Guards against upstreams that work
        // for callers that have left.
        it(`sends nothing on that was not read before they left (${name})`, async () => {
            const { process } = site.getEntries()[0];
            const before = await countRuns();
            process.pause();
            const sockets = await Promise.all(Array.from({ length: callers }, () => open(request)));
            await sleep(patienceMilliseconds);
            for (const socket of sockets) {
                socket.end();
            }
            await sleep(pauseMilliseconds - patienceMilliseconds);
            process.resume();
            await waitUntil(() => sockets.every(({ closed }) => closed), { description: "closed connections" });
            expect(await countRuns()).toEqual(before);
            await expectHealthy();
        });
    }

    // Guards against a caller that closes its connection without a reset, whose call is taken as still wanted.
    it("closes its side when a caller closes its own", async () => {
        const setWork = async (milliseconds: number): Promise<void> => {
            for (const [name, upstream] of site.getUpstreams()) {
                if (name.startsWith("service")) {
                    await setFaults(upstream.getAddress(), { workMilliseconds: milliseconds });
                }
            }
        };
        await setWork(workMilliseconds);
        const socket = await open(serviceCall);
        await sleep(patienceMilliseconds);
        const leftAt = performance.now();
        socket.end();
        await waitUntil(() => socket.closed, { description: "a closed connection" });
        await setWork(0);
        expect(performance.now() - leftAt < workMilliseconds / 2).toEqual(true);
    });
});
