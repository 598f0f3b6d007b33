import { expect } from "earl";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import type { Agent } from "undici";
import { createWatchedAgent } from "../../src/connections/index.js";
import { createTransport } from "../../src/log/index.js";
import { EngineClient, EngineOrders, RatingClient, readEvents, VmListClient } from "../../src/upstream/index.js";
import type { Vm } from "../../src/world/index.js";
import { waitUntil } from "../fixtures/waiting.js";
import { createEndlessRunner, type EndlessAnswer } from "../platform/standins/endlessRunner.js";

const host = "127.10.5.1";
/** Longer than any of the answers takes. */
const timeoutMilliseconds = 20_000;
const answers: Readonly<Record<string, EndlessAnswer>> = {
    "its body": { start: "HTTP/1.1 200 OK\r\n\r\n", repeated: "x" },
    "heads before the final one": { start: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n" },
};

type Call = (address: string, dispatcher: Agent) => Promise<boolean>;

/** Each call returns whether it failed. */
const calls: Readonly<Record<string, Call>> = {
    "the list of VMs": async (address, dispatcher) =>
        (await new VmListClient({ url: `http://${address}`, dispatcher, timeoutMilliseconds }).getVms()).isErr(),
    "a load report": async (address, dispatcher) =>
        (await createEngineClient(dispatcher).getLoad(createVm(address))).isErr(),
    "cache events": async (address, dispatcher) =>
        (await createEngineClient(dispatcher).getCacheEvents(createVm(address), 0)).isErr(),
    "an engine's state": async (address, dispatcher) =>
        (await new EngineOrders(dispatcher).read(createVm(address), timeoutMilliseconds)).isErr(),
    "a rating": async (address, dispatcher) => {
        const client = new RatingClient({ url: `http://${address}`, dispatcher, timeoutMilliseconds });
        const rating = { id: "1", version: "v1", requestClass: "a", question: "q", answer: "a" };
        return (await client.rate(rating)).isErr();
    },
    "a page of the log": async address => {
        const result = createTransport()({ method: "GET", url: `http://${address}/log`, timeoutMilliseconds });
        return result.then(() => false, () => true);
    },
};

function createEngineClient(dispatcher: Agent): EngineClient {
    return new EngineClient({ dispatcher, headersTimeoutMilliseconds: timeoutMilliseconds });
}

function createVm(address: string): Vm {
    const [ip, port] = address.split(":");
    return { id: "r-1", address: ip, port: Number(port), role: "runner", failureDomain: "pasig-a" } as unknown as Vm;
}

describe("an answer without an end", () => {
    const runner = createEndlessRunner(answers["its body"]);
    let dispatcher: Agent;
    before(async () => {
        dispatcher = createWatchedAgent(timeoutMilliseconds);
        await new Promise<void>(resolve => runner.server.listen(0, host, resolve));
    });
    after(async () => {
        await dispatcher.destroy();
        runner.server.close();
    });

    for (const [callName, call] of Object.entries(calls)) {
        for (const [name, answer] of Object.entries(answers)) {
            // Guards against an entry whose memory or whose time goes to one answer.
            it(`to a request for ${callName} is given up in ${name}`, async () => {
                runner.answer = answer;
                runner.written.length = 0;
                const { port } = runner.server.address() as AddressInfo;
                expect(await call(`${host}:${port}`, dispatcher)).toEqual(true);
                const [written] = runner.written;
                await waitUntil(() => written.isClosed, "the connection has ended");
                expect(written.bytes < 32 * 1024 * 1024).toEqual(true);
            });
        }
    }
});

describe("readEvents", () => {
    // Guards against an entry that collects an event until its memory is used up.
    it("gives up an event without an end", async () => {
        let pieces = 0;
        async function* repeat(): AsyncGenerator<Uint8Array> {
            for (pieces = 0; pieces < 1_000; pieces += 1) {
                yield Buffer.from("data: line\n".repeat(1_000));
                await Promise.resolve();
            }
        }
        const read = async () => {
            for await (const event of readEvents(repeat(), 0)) {
                void event;
            }
        };
        await expect(read()).toBeRejectedWith("has no end");
        expect(pieces < 200).toEqual(true);
    });
});
