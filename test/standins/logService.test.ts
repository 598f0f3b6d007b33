import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { LogPage } from "../../src/log/index.js";
import { formatAddress, LogService } from "../../src/standins/index.js";
import { call, callJson, type Reply, setFaults } from "../../src/testbench/index.js";

describe("LogService", () => {
    let log: LogService;
    let address: string;

    beforeEach(async () => {
        log = new LogService({ host: "127.10.1.1", port: 0 });
        address = formatAddress(await log.start());
    });

    afterEach(() => log.stop());

    function append(id: string): Promise<Reply> {
        const body = { id, kind: "note", format: 1, writer: "test", body: {} };
        return call({ address, path: "/streams/config", method: "POST", body });
    }

    async function readIds(from = 0): Promise<readonly string[]> {
        const page = await callJson<LogPage>({ address, path: `/streams/config?from=${from}` });
        return page.entries.map(entry => entry.record.id);
    }

    it("returns records in the order of their offsets", async () => {
        await append("a");
        const { offset } = JSON.parse((await append("b")).text) as { offset: number; };
        expect(offset).toEqual(1);
        expect(await readIds()).toEqual(["a", "b"]);
        const { next } = await callJson<LogPage>({ address, path: "/streams/config?from=latest" });
        expect(next).toEqual(2);
    });

    it("wakes a reader that waits for the next record", async () => {
        const page = callJson<LogPage>({ address, path: "/streams/config?from=0&wait=9000" });
        await append("a");
        expect((await page).next).toEqual(1);
    });

    // The connection breaks after the append took effect. The writer gets an error and can't tell whether to append again.
    it("loses an acknowledgement after the append took effect", async () => {
        await setFaults(address, { lostAcknowledgements: 1 });
        await expect(append("a")).toBeRejected();
        expect((await append("b")).status).toEqual(200);
        expect(await readIds()).toEqual(["a", "b"]);
    });

    // The connection breaks before the append reaches the log. The writer gets the same error, but nothing was appended.
    it("loses an append before it takes effect", async () => {
        await setFaults(address, { lostAppends: 1 });
        await expect(append("a")).toBeRejected();
        expect(await readIds()).toEqual([]);
    });

    // A reader that was disconnected for longer than the retention time requests a record that has expired.
    it("reports the remaining offsets when a requested record has expired", async () => {
        await append("a");
        await append("b");
        await setFaults(address, { expireBefore: { stream: "config", offset: 1 } });
        const reply = await call({ address, path: "/streams/config?from=0" });
        expect(reply.status).toEqual(410);
        expect(JSON.parse(reply.text)).toEqual({ earliest: 1, next: 2 });
        await setFaults(address, { retainCount: 0 });
        expect((await call({ address, path: "/streams/config?from=1" })).status).toEqual(410);
    });

    // Many writers append single records and exceed the log's rate limit. The last appends are rejected and must be retried.
    it("rejects appends above its rate limit", async () => {
        await setFaults(address, { appendsPerSecond: 1 });
        const statuses = [];
        for (const id of ["a", "b", "c", "d"]) {
            statuses.push((await append(id)).status);
        }
        expect(statuses).toInclude(429);
    });

    // The service is unavailable. It first answers with an error, then closes connections without an answer.
    it("fails requests during an outage", async () => {
        await setFaults(address, { outage: "answer" });
        expect((await append("a")).status).toEqual(503);
        await setFaults(address, { outage: "drop" });
        await expect(append("b")).toBeRejected();
        await setFaults(address, { outage: "none" });
        expect(await readIds()).toEqual([]);
    });
});
