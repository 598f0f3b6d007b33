import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { formatAddress, PlainService } from "../../src/standins/index.js";
import { call, getJournal, type Reply, setFaults } from "../../src/testbench/index.js";

describe("PlainService", () => {
    let service: PlainService;
    let address: string;

    beforeEach(async () => {
        service = new PlainService({ host: "127.10.2.1", port: 0 });
        address = formatAddress(await service.start());
    });

    afterEach(() => service.stop());

    function book(key: string): Promise<Reply> {
        const headers = { "Idempotency-Key": key, "X-Request-Id": `request-${key}` };
        return call({ address, path: "/bookings", method: "POST", headers, body: {}, timeoutMilliseconds: 300 });
    }

    async function getKeysAndRequests(): Promise<readonly unknown[]> {
        const entries = await getJournal<{ readonly key: string; readonly request: string; }>(address);
        return entries.map(entry => [entry.key, entry.request]);
    }

    // The connection breaks or hangs before or after the booking takes effect. In each case the caller sees only a failed call
    // and can't tell whether the booking was made.
    const cases = [
        { fault: "dropAfterRun", ran: true },
        { fault: "hangAfterRun", ran: true },
        { fault: "dropBeforeRun", ran: false },
        { fault: "hang", ran: false },
    ];
    for (const { fault, ran } of cases) {
        it(`journals what took effect under ${fault}`, async () => {
            await setFaults(address, { [fault]: 1 });
            await expect(book("a")).toBeRejected();
            expect((await book("b")).status).toEqual(200);
            const secondEntry = ["b", "request-b"];
            expect(await getKeysAndRequests()).toEqual(ran ? [["a", "request-a"], secondEntry] : [secondEntry]);
        });
    }

    it("rejects calls while it is leaving", async () => {
        await setFaults(address, { leaving: true });
        expect((await book("a")).status).toEqual(409);
        expect(await getKeysAndRequests()).toEqual([]);
    });
});
