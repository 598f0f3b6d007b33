import { expect } from "earl";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import {
    call,
    Caller,
    type ChatRecord,
    getApiKey,
    getJournal,
    metroManila,
    ProcessGroup,
    setFaults,
    Site,
    type SiteDescription,
    waitUntil,
} from "../../src/testbench/index.js";

const version = "label-medium@2";

const description: SiteDescription = {
    ...metroManila,
    prefix: "127.60.2",
    entryCount: 1,
    runners: { name: "lm-pool", count: 2, settings: { stepMilliseconds: 20 } },
    entrySettings: { limits: { body_bytes: "65536" }, timing: { resume_grace_ms: "50" } },
};

// A caller sends malformed or abusive input, by mistake or on purpose. It must get a clear refusal that says that
// nothing ran, and the requests of other callers must not be affected.
describe("CallerServer under hostile input", () => {
    const group = new ProcessGroup();
    const caller = new Caller();
    const key = getApiKey("commissary");
    let entry: string;
    let site: Site;

    before(async () => {
        site = await Site.start(group, description);
        entry = site.getEntries()[0].callerAddress;
    });

    after(async () => {
        await caller.close();
        await group.killAll();
    });

    async function expectHealthy(): Promise<void> {
        const record = await caller.chat({ entry, key, text: "Does the soy glaze hold sesame?" });
        expect(record.isComplete).toEqual(true);
    }

    function post(headers: Readonly<Record<string, string>>, body: object) {
        return call({
            address: entry,
            path: "/v1/chat/completions",
            method: "POST",
            headers: { authorization: `Bearer ${key}`, ...headers },
            body,
        });
    }

    it("refuses bodies that are not chat completions", async () => {
        const bodies = [
            {},
            { model: "auto" },
            { model: "auto", messages: [] },
            { model: "auto", messages: [{ role: "emperor", content: "x" }] },
            { model: "auto", messages: [{ role: "user", content: "x" }], max_tokens: -1 },
            { model: "auto", messages: [{ role: "user", content: "x" }], n: 2 },
        ];
        for (const body of bodies) {
            const reply = await post({}, body);
            expect(reply.status).toEqual(400);
            expect(reply.headers["x-rattanlock-outcome"]).toEqual("not-run");
            expect(reply.headers["content-type"]).toEqual("application/problem+json");
        }
        await expectHealthy();
    });

    it("refuses text that is not JSON", async () => {
        const reply = await fetch(`http://${entry}/v1/chat/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
            body: "{\"model\": \"auto\", ",
        });
        expect(reply.status).toEqual(400);
        expect((await reply.json() as { outcome: string; }).outcome).toEqual("not-run");
        await expectHealthy();
    });

    it("refuses a body above the limit", async () => {
        const reply = await post({}, { model: "auto", messages: [{ role: "user", content: "x".repeat(100_000) }] });
        expect(reply.status).toEqual(400);
        expect(reply.text).toEqual(expect.includes("larger than 65536 bytes"));
        await expectHealthy();
    });

    it("refuses invalid names", async () => {
        for (const name of ["x-rattanlock-application", "x-rattanlock-session", "x-rattanlock-class"]) {
            const reply = await post({ [name]: "a b" }, { model: "auto", messages: [{ role: "user", content: "x" }] });
            expect(reply.status).toEqual(400);
        }
        await expectHealthy();
    });

    it("continues to serve while callers disconnect in the middle of their bodies", async () => {
        for (let count = 0; count < 50; count += 1) {
            const socket = await open(entry);
            socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\n`);
            socket.write("content-length: 1000\r\n\r\n{\"model\":");
            socket.destroy();
        }
        await expectHealthy();
    });

    // A caller disconnects after the first words of its answer. The rest would take a minute to generate and has no
    // reader; an engine that continues with it is slower for all other callers.
    it("cancels at the engine when the caller disconnects in the middle of its answer", async () => {
        await makeAnswersLong();
        const record = await disconnectMidStream();
        expect(record.status).toEqual(200);
        await waitUntilOutcome(record, "cancelled");
        await makeAnswersShort();
        await expectHealthy();
    });

    // A busy engine notices late that a reader has disconnected, and refuses to cancel a stream that it assumes is
    // being read. An entry that accepts the refusal at once leaves the engine generating an answer that has no reader.
    it("cancels at an engine that notices late that its reader disconnected", async () => {
        await makeAnswersLong();
        await Promise.all(getRunners().map(runner => setFaults(runner, { readerLagMilliseconds: 900 })));
        const record = await disconnectMidStream();
        await waitUntilOutcome(record, "cancelled");
        await Promise.all(getRunners().map(runner => setFaults(runner, { readerLagMilliseconds: 0 })));
        await makeAnswersShort();
    });

    async function makeAnswersLong(): Promise<void> {
        await Promise.all(getRunners().map(runner => setFaults(runner, { version, outputTokens: 5000 })));
    }

    async function makeAnswersShort(): Promise<void> {
        await Promise.all(getRunners().map(runner => setFaults(runner, { version, outputTokens: 20 })));
    }

    function disconnectMidStream(): Promise<ChatRecord> {
        const text = "List every allergen of the buffet.";
        return caller.chat({ entry, key, model: version, text, streamed: true, disconnectAfterEvents: 1 });
    }

    /** Waits until the engines' journals contain exactly one run of the request, with this outcome. */
    async function waitUntilOutcome(record: ChatRecord, expected: string): Promise<void> {
        let outcomes: string[] = [];
        await waitUntil(async () => {
            outcomes = [];
            for (const runner of getRunners()) {
                const runs = await getJournal<{ id?: string; outcome: string; }>(runner);
                const ownRuns = runs.filter(({ id }) => id?.startsWith(record.requestId ?? "-"));
                outcomes.push(...ownRuns.map(run => run.outcome));
            }
            return outcomes.length === 1 && outcomes[0] === expected;
        }, { description: `the engines to record ${expected}`, describeState: () => outcomes.join() });
    }

    function getRunners(): readonly string[] {
        return [...site.getUpstreams()].filter(([name]) => name.startsWith("runner"))
            .map(([, runner]) => runner.getAddress());
    }
});

function open(address: string): Promise<Socket> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        const socket = connect(Number(port), host, () => resolve(socket));
        socket.on("error", reject);
    });
}
