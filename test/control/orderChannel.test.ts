import { expect } from "earl";
import { err, ok } from "neverthrow";
import { describe, it } from "node:test";
import { Failure, ManualClock } from "../../src/common/index.js";
import { type EngineControl, type EngineOrder, type EngineState, OrderChannel } from "../../src/control/index.js";
import { createJournal } from "../fixtures/journals.js";

/** An engine in memory. It checks fencing tokens if so configured. */
class Engine {
    versions: readonly string[] = ["m@1"];
    readonly orders: EngineOrder[] = [];
    readonly #checksFencing: boolean;
    #maxFencingToken = -1;
    /** Whether orders are followed but their answers are lost. */
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
            return err(
                new Failure({
                    kind: "stale",
                    message: "The fencing token is older than the last one.",
                    remedy: "Stop.",
                }),
            );
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
    describe("reconcile", () => {
        it("orders an engine and relies on its report, also when the order's answer was lost", async () => {
            for (const isAnswerLost of [false, true]) {
                const engine = new Engine(true);
                engine.isAnswerLost = isAnswerLost;
                const result = await createChannel(() => 5).reconcile(
                    engine.control,
                    createDesiredState("m@2", "m@1"),
                );
                expect(result._unsafeUnwrap().versions).toEqual(["m@2", "m@1"]);
                expect(engine.orders.length).toEqual(1);
            }
        });

        it("sends no order when the engine reports the desired state", async () => {
            const engine = new Engine(true);
            await createChannel(() => 5).reconcile(engine.control, createDesiredState("m@1"));
            expect(engine.orders).toEqual([]);
        });

        it("sends no order without the lease", async () => {
            const engine = new Engine(false);
            const result = await createChannel(() => undefined).reconcile(engine.control, createDesiredState("m@2"));
            expect(result._unsafeUnwrapErr().kind).toEqual("stale");
            expect(engine.orders).toEqual([]);
        });

        // A former holder was paused between its check of the lease and its order. An engine that checks fencing tokens
        // refuses the order, and the refusal notifies the former holder.
        it("is refused by an engine that has received a newer fencing token", async () => {
            const engine = new Engine(true);
            await createChannel(() => 9).reconcile(engine.control, createDesiredState("m@2"));
            const result = await createChannel(() => 5).reconcile(engine.control, createDesiredState("m@1"));
            expect(result._unsafeUnwrapErr().kind).toEqual("stale");
            expect(engine.versions).toEqual(["m@2"]);
        });

        // The engine ignores fencing tokens, follows the late order of a former holder and loads the old version. The
        // current holder must see that in the engine's report and order once more.
        it("corrects an engine that followed a former holder's late order", async () => {
            const engine = new Engine(false);
            let isLate = true;
            const channel = createChannel(() => 9, () => {
                if (isLate) {
                    isLate = false;
                    engine.applyOrder({ fence: 5, versions: ["m@1"], role: "decode" });
                }
            });
            const result = await channel.reconcile(engine.control, createDesiredState("m@2"));
            expect(result._unsafeUnwrap().versions).toEqual(["m@2"]);
            expect(engine.orders.map(order => order.fence)).toEqual([9, 5, 9]);
        });

        // The lease expires between two orders of a longer change. A further order would be that of a former holder.
        it("sends no further orders when the lease expires in between", async () => {
            const engine = new Engine(false);
            let fence: number | undefined = 9;
            const channel = createChannel(() => fence, () => {
                engine.versions = ["m@1"];
                fence = undefined;
            });
            const result = await channel.reconcile(engine.control, createDesiredState("m@2"));
            expect(result.isErr()).toEqual(true);
            expect(engine.orders.length).toEqual(1);
        });
    });
});
