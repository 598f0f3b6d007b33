/**
 * Bills for docs/CAPACITY.md: an entry's own bills during an outage of the log, and its replicas of others' bills.
 */
import { type Bill, BillReplicaStore, BillWriter } from "../../bills/index.js";
import { ManualClock } from "../../common/index.js";
import { Journal } from "../../events/index.js";

const wallStart = Date.UTC(2026, 0, 1);

/**
 * Builds a writer whose bills all have a replica and wait for an unavailable log. Without replicas, the timers of
 * callers that wait for a replica would be counted too. An outage of the log does not retain these timers.
 * @param count - The number of bills.
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
 * Builds a replica store with the bills of another entry.
 * @param count - The number of bills.
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
