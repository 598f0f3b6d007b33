import { expect } from "earl";
import { err, ok } from "neverthrow";
import { describe, it } from "node:test";
import { Failure, ManualClock } from "../../src/common/index.js";
import { type EngineControl, type EngineOrder, type EngineState, OrderChannel } from "../../src/control/index.js";
import { createJournal } from "../fixtures/journals.js";

/** An engine in memory that may check fencing numbers. */
class Engine {
    versions: readonly string[] = ["m@1"];
    readonly orders: EngineOrder[] = [];
    readonly #checksFencing: boolean;
    #maxFencingToken = -1;
    /** Whether orders are obeyed but their answers lost. */
    isAnswerLost = false;

    constructor(checksFencing: boolean) {
        this.#checksFencing = checksFencing;
    }

    readonly control: EngineControl = {
        order: order => Promise.resolve(this.applyOrder(order)),
        read: () => Promise.resolve(ok<EngineState>({ versions: this.versions, checksFencing: this.#checksFencing })),
    };

    applyOrder(order: EngineOrder) {
        if (this.#checksFencing && order.fence < this.#maxFencingToken) {
            return err(new Failure({ kind: "stale", message: "An older fence.", remedy: "Stop." }));
        }
        this.#maxFencingToken = Math.max(this.#maxFencingToken, order.fence);
        this.orders.push(order);
        this.versions = order.versions;
        if (this.isAnswerLost) {
            return err(new Failure({ kind: "unavailable", message: "No answer.", remedy: "Read the engine." }));
        }
        return ok(undefined);
    }
}

function createChannel(getFencingToken: () => number | undefined, onSleep: () => void = () => {}): OrderChannel {
    return new OrderChannel({
        getFencingToken,
        clock: new ManualClock(),
        journal: createJournal().journal,
        attempts: 3,
        sleep: () => {
            onSleep();
            return Promise.resolve();
        },
    });
}

function createDesiredState(...versions: string[]) {
    return { engine: "runner-1", versions, role: "decode" };
}

describe("OrderChannel", () => {
    describe("bring", () => {
        it("orders an engine and believes what it reports, also when the order's answer was lost", async () => {
            for (const isAnswerLost of [false, true]) {
                const engine = new Engine(true);
                engine.isAnswerLost = isAnswerLost;
                const brought = await createChannel(() => 5).reconcile(
                    engine.control,
                    createDesiredState("m@2", "m@1"),
                );
                expect(brought._unsafeUnwrap().versions).toEqual(["m@2", "m@1"]);
                expect(engine.orders.length).toEqual(1);
            }
        });

        it("orders nothing when the engine reports what is wanted", async () => {
            const engine = new Engine(true);
            await createChannel(() => 5).reconcile(engine.control, createDesiredState("m@1"));
            expect(engine.orders).toEqual([]);
        });

        it("orders nothing without the lease", async () => {
            const engine = new Engine(false);
            const brought = await createChannel(() => undefined).reconcile(engine.control, createDesiredState("m@2"));
            expect(brought._unsafeUnwrapErr().kind).toEqual("stale");
            expect(engine.orders).toEqual([]);
        });

        // A former holder was paused between its look at the lease and its order. An engine that checks refuses the
        // order, and the former holder learns from the refusal.
        it("is refused by an engine that has seen a newer fencing number", async () => {
            const engine = new Engine(true);
            await createChannel(() => 9).reconcile(engine.control, createDesiredState("m@2"));
            const brought = await createChannel(() => 5).reconcile(engine.control, createDesiredState("m@1"));
            expect(brought._unsafeUnwrapErr().kind).toEqual("stale");
            expect(engine.versions).toEqual(["m@2"]);
        });

        // The same with an engine that ignores fencing numbers: it obeys the late order and loads the old version. The
        // present holder must see that in what the engine reports, and order once more.
        it("mends an engine that obeyed a former holder's late order", async () => {
            const engine = new Engine(false);
            let isLate = true;
            const channel = createChannel(() => 9, () => {
                if (isLate) {
                    isLate = false;
                    engine.applyOrder({ fence: 5, versions: ["m@1"], role: "decode" });
                }
            });
            const brought = await channel.reconcile(engine.control, createDesiredState("m@2"));
            expect(brought._unsafeUnwrap().versions).toEqual(["m@2"]);
            expect(engine.orders.map(order => order.fence)).toEqual([9, 5, 9]);
        });

        // The lease lapses between two orders of a longer change.
        it("stops ordering when the lease lapses in between", async () => {
            const engine = new Engine(false);
            let fence: number | undefined = 9;
            const channel = createChannel(() => fence, () => {
                engine.versions = ["m@1"];
                fence = undefined;
            });
            const brought = await channel.reconcile(engine.control, createDesiredState("m@2"));
            expect(brought.isErr()).toEqual(true);
            expect(engine.orders.length).toEqual(1);
        });
    });
});
