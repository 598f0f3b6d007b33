import { expect } from "earl";
import { describe, it } from "node:test";
import { createPosition, ManualClock, readPosition } from "../../src/common/index.js";
import { ThrottledJournal } from "../../src/events/index.js";
import { Announcements, UpstreamRegistry } from "../../src/fleet/index.js";
import { createForwardingMetrics } from "../../src/forwarding/index.js";
import { UpstreamRecords } from "../../src/platform/upstreamRecords.js";
import { createJournal } from "../fixtures/journals.js";

const record = {
    service: "pool",
    address: "10.0.0.9:8080",
    zone: "north",
    version: "v1",
    slots: 48,
    state: "ready",
    born: 1_700_000_000_000,
};

function createRecords() {
    const clock = new ManualClock();
    const { journal, lines } = createJournal();
    const metrics = createForwardingMetrics();
    const registry = new UpstreamRegistry(clock, new Announcements({ clock, journal }));
    const throttledJournal = new ThrottledJournal({ clock, journal });
    const records = new UpstreamRecords({ journal, throttledJournal, metrics, registry });
    let position = 0;
    const apply = (key: string, value: unknown, graceMilliseconds = 0): void => {
        const bytes = Buffer.isBuffer(value) || value === undefined ? value : Buffer.from(JSON.stringify(value));
        position += 1;
        records.apply([{ key, value: bytes, position }], graceMilliseconds);
    };
    /** The store comes back from an older copy: all that is applied from now on has later positions. */
    const comeBack = (): void => {
        position = createPosition({ era: readPosition(position).era + 1, offset: 0 });
    };
    const getAvailable = (): readonly string[] => registry.getAvailable("pool").map(({ id }) => id);
    const countLines = (name: string): number => lines.filter(line => line.name === name).length;
    return { apply, comeBack, getAvailable, countLines, metrics, registry };
}

const foreignRecords: readonly unknown[] = [
    {},
    [],
    "text",
    { ...record, slots: "48" },
    { ...record, slots: undefined },
    { ...record, state: "resting" },
    { ...record, service: 7 },
    { ...record, version: 3 },
    { ...record, zone: undefined },
    { ...record, address: "elsewhere" },
    { ...record, address: "10.0.0.999:8080" },
    { ...record, address: "10.0.0.9:0" },
    { ...record, address: "10.0.0.9:70000" },
    { ...record, born: "yesterday" },
    { ...record, born: 1.5 },
    Buffer.from([0xff, 0x00, 0x7b]),
    Buffer.alloc(0),
];

describe("UpstreamRecords", () => {
    // Another program writes records that are not an upstream's. Guards against requests that are sent to what they name.
    it("gets no upstream from records of another writer, and keeps the others", () => {
        const { apply, getAvailable } = createRecords();
        apply("i-1", record);
        for (const [index, foreign] of foreignRecords.entries()) {
            apply(`other-${index}`, foreign);
        }
        expect(getAvailable()).toEqual(["i-1"]);
    });

    // Guards against an upstream that stays in use although its record no longer says so.
    it("removes an upstream whose record becomes unreadable, and adds it again with its next record", () => {
        const { apply, getAvailable } = createRecords();
        apply("i-1", record);
        apply("i-1", { ...record, slots: "48" });
        expect(getAvailable()).toEqual([]);
        apply("i-1", record);
        expect(getAvailable()).toEqual(["i-1"]);
    });

    // A key that no header can carry would make every request to that upstream fail after it was counted as sent.
    it("gets no upstream from a key that is no identifier", () => {
        const { apply, getAvailable } = createRecords();
        for (const key of ["", "i\n1", "i-\u00e9", "i 1", "x".repeat(300)]) {
            apply(key, record);
        }
        expect(getAvailable()).toEqual([]);
    });

    it("counts unreadable records and logs few of them", async () => {
        const { apply, countLines, metrics } = createRecords();
        for (let count = 0; count < 500; count += 1) {
            apply("other", { ...record, seq_no: count, slots: "48" });
        }
        expect([countLines("record-unreadable"), countLines("upstream-registered")]).toEqual([1, 0]);
        expect((await metrics.unreadable.get()).values[0].value).toEqual(500);
    });

    // Guards against state of the incarnation before, which is invalid after a restart under the same identifier.
    it("reports an upstream that starts again under its identifier as removed", () => {
        const { apply, registry } = createRecords();
        const removed: (number | undefined)[] = [];
        registry.onRemoved(({ startedAt }) => removed.push(startedAt));
        apply("i-1", record);
        apply("i-1", { ...record, seq_no: 7 });
        expect(removed).toEqual([]);
        apply("i-1", { ...record, born: record.born + 1 });
        expect(removed).toEqual([record.born]);
    });

    describe("after the store came back from an older copy", () => {
        const before = { ...record, seq_no: 4 };
        const leaving = { ...record, state: "draining", seq_no: 5 };

        // Guards against requests that are sent to an upstream that had said that it leaves, as the copy is older than that.
        it("does not use an upstream again that has left, or was removed", () => {
            for (const last of [leaving, undefined]) {
                const { apply, comeBack, getAvailable } = createRecords();
                apply("i-1", before);
                apply("i-1", last);
                comeBack();
                apply("i-1", before);
                expect(getAvailable()).toEqual([]);
                comeBack();
                apply("i-1", before);
                expect(getAvailable()).toEqual([]);
            }
        });

        // Guards against pools that stay empty, as live upstreams are taken for such that have left.
        it("uses an upstream whose record had only expired, one that has written since, and another life of it", () => {
            const { apply, comeBack, getAvailable } = createRecords();
            for (const id of ["expired", "alive", "restarted"]) {
                apply(id, before);
            }
            apply("expired", undefined, 2_000);
            apply("alive", undefined);
            apply("restarted", leaving);
            comeBack();
            apply("expired", before);
            apply("alive", { ...record, seq_no: 6 });
            apply("restarted", { ...before, born: record.born + 9_000 });
            expect([...getAvailable()].sort()).toEqual(["alive", "expired", "restarted"]);
        });

        it("uses an upstream whose record is the one that was known", () => {
            const { apply, comeBack, getAvailable } = createRecords();
            apply("i-1", before);
            comeBack();
            apply("i-1", { ...before, zone: "south" });
            expect(getAvailable()).toEqual(["i-1"]);
        });
    });
});
