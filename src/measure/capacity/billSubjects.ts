/**
 * Bills for docs/CAPACITY.md: an entry's own during an outage of the log, and the copies that it keeps for others.
 */
import { type Bill, BillReplicaStore, BillWriter } from "../../bills/index.js";
import { ManualClock } from "../../common/index.js";
import { Journal } from "../../events/index.js";

const wallStart = Date.UTC(2026, 0, 1);

/**
 * Builds a writer whose bills all have their copy and wait for a log that is away. Without the copies, the timers of
 * those who wait for them would be counted too, which an outage does not keep.
 * @param count - How many bills.
 */
export async function buildWaitingBills(count: number): Promise<BillWriter> {
    const writer = new BillWriter({
        append: () => new Promise(() => undefined),
        getCopyTargets: () => [{
            id: "entry-1",
            copy: bills => Promise.resolve(bills.map(bill => bill.requestId)),
        }],
        ...createShared(),
        maxBills: count * 2,
    });
    await Promise.all(Array.from({ length: count }, (_, index) => writer.add(createBill(index))));
    return writer;
}

/**
 * Builds a keeper of copies.
 * @param count - How many bills.
 */
export function buildBillReplicas(count: number): BillReplicaStore {
    const replica = new BillReplicaStore({
        append: () => new Promise(() => undefined),
        ...createShared(),
        hasDeparted: () => false,
        maxBills: count * 2,
    });
    for (let index = 0; index < count; index += 1) {
        replica.retain("entry-1", [JSON.stringify(createBill(index))], []);
    }
    return replica;
}

function createShared(): { readonly clock: ManualClock; readonly journal: Journal; readonly writer: string; } {
    const clock = new ManualClock(wallStart);
    return { clock, journal: new Journal({ process: "entry-0", clock, write: () => undefined }), writer: "entry-0" };
}

function createBill(index: number): Bill {
    return {
        requestId: `00000000-0000-0000-0000-${String(index).padStart(12, "0")}`,
        workspace: "workspace",
        application: "application",
        requestClass: "class",
        lines: [{ version: "model-0@1", inputTokens: 900, cachedTokens: 512, outputTokens: 460, cost: 0.001 }],
        total: 0.001,
        answeredAt: wallStart + index,
        entry: "entry-0",
    };
}
