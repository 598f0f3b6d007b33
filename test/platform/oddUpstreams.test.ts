import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";
import { PlatformSite } from "./platformSite.js";

const depth = 50_000;
const digits = 400;
const nodeCount = 2;

/** Returns the record of an upstream as JSON, with one field replaced. */
function createRecord(field: string, json: string): Buffer {
    const fields = new Map([
        ["service", "\"pool\""],
        ["address", "\"127.73.98.240:7020\""],
        ["zone", "\"north\""],
        ["version", "\"v1\""],
        ["slots", "20"],
        ["state", "\"ready\""],
        ["seq_no", "1"],
        ["cold_left_ms", "0"],
        [field, json],
    ]);
    return Buffer.from(`{${Array.from(fields, ([name, value]) => `"${name}":${value}`).join(",")}}`);
}

const odd: Readonly<Record<string, Buffer>> = {
    "lists nested deeply": Buffer.from("[".repeat(depth) + "]".repeat(depth)),
    "a record nested deeply": Buffer.from(`${"{\"a\":".repeat(depth)}1${"}".repeat(depth)}`),
    "a field nested deeply": createRecord("zone", "[".repeat(depth) + "]".repeat(depth)),
    "a nested record that has no end": Buffer.from("[".repeat(depth)),
    "a number too large": createRecord("slots", "9".repeat(digits)),
    "a start too large": createRecord("born", "9".repeat(digits)),
    "a start beyond any date": createRecord("born", "1e300"),
    "a negative warm-up": createRecord("cold_left_ms", "-1e300"),
    "a warm-up without end": createRecord("cold_left_ms", "1e999"),
    "a sequence number too large": createRecord("seq_no", "9".repeat(digits)),
    "a negative number": createRecord("slots", "-1"),
    "port 0": createRecord("address", "\"127.73.98.240:0\""),
    "port -1": createRecord("address", "\"127.73.98.240:-1\""),
    "port 99999": createRecord("address", "\"127.73.98.240:99999\""),
    "a port of many digits": createRecord("address", `"127.73.98.240:${"9".repeat(digits)}"`),
    "an empty record": Buffer.from("{}"),
    "no JSON": Buffer.from("pool"),
    "bytes that are no text": Buffer.from([0xff, 0x00, 0x7b]),
    "a prototype": Buffer.from("{\"__proto__\":{\"service\":\"pool\"}}"),
};

// Another writer leaves entries that no runner writes; nodes that end by them, or stop following the list, serve nobody.
describe("odd entries in the list of runners", () => {
    const site = new PlatformSite("127.73.98");
    after(() => site.stop());
    before(async () => {
        await site.start(1);
        for (let index = 1; index <= nodeCount; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
    });

    it("end no node, and the runner that is added after each of them is used", async () => {
        for (const [index, [name, value]] of Object.entries(odd).entries()) {
            site.store.put("keyed.servers", `odd-${index}`, value);
            const runner = await site.addRunner(`i-after-${index}`);
            await waitUntil(async () => {
                await Promise.all(site.nodes.map(node => site.send(node)));
                return runner.received.length >= 1;
            }, { description: `a request at the runner added after ${name}` });
        }
        expect(site.nodes.map(({ child }) => child.exitCode ?? child.signalCode ?? "runs")).toEqual(["runs", "runs"]);
    });

    it("are read by a node that starts after them", async () => {
        const node = site.startNode(nodeCount + 1);
        await site.waitForReady(node);
        expect((await site.send(node)).status).toEqual(200);
    });
});
