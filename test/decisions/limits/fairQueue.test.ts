import { expect } from "earl";
import { describe, it } from "node:test";
import { FairQueue, type FairQueueItem } from "../../../src/decisions/limits/fairQueue.js";

function createItem(workspace: string, options: Partial<FairQueueItem> = {}): FairQueueItem {
    return { workspace, share: 1, priority: 1, tokens: 100, since: 0, ...options };
}

function shiftWorkspaces(queue: FairQueue<FairQueueItem>, count: number): readonly (string | undefined)[] {
    return Array.from({ length: count }).map(() => queue.shift()?.workspace);
}

describe("FairQueue", () => {
    describe("shift", () => {
        it("orders by tokens and shares, and by priority within a workspace", () => {
            const queue = new FairQueue<FairQueueItem>();
            const urgent = createItem("short", { priority: 0 });
            for (let index = 0; index < 6; index += 1) {
                queue.add(createItem("long", { tokens: 300 }));
                queue.add(createItem("short"));
            }
            queue.add(urgent);
            const order = Array.from({ length: 8 }).map(() => queue.shift()!);
            expect(order.filter(waiting => waiting.workspace === "short").length).toEqual(6);
            expect(order.find(waiting => waiting.workspace === "short")).toEqual(urgent);
        });

        // Guards against unbounded credit. If a workspace that was idle for an hour could use all of its unused share at once, all other
        // workspaces would wait until it has caught up.
        it("limits the credit of a workspace that was idle", () => {
            const queue = new FairQueue<FairQueueItem>();
            for (let index = 0; index < 1_000; index += 1) {
                queue.start("busy", 1, 100);
            }
            for (let index = 0; index < 20; index += 1) {
                queue.add(createItem("busy"));
                queue.add(createItem("away"));
            }
            const served = shiftWorkspaces(queue, 16).filter(workspace => workspace === "away").length;
            expect(served >= 8 && served <= 12).toEqual(true);
        });

        it("does not count requests served without contention against a workspace", () => {
            const queue = new FairQueue<FairQueueItem>();
            queue.start("other", 1, 100);
            for (let index = 0; index < 1_000; index += 1) {
                queue.start("busy", 1, 100);
            }
            for (let index = 0; index < 20; index += 1) {
                queue.add(createItem("other"));
                queue.add(createItem("busy"));
            }
            expect(shiftWorkspaces(queue, 16).filter(workspace => workspace === "busy").length >= 4).toEqual(true);
        });
    });
});
