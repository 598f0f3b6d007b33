import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testbench/index.js";
import { CallerStandin, createCallerRequest, createCallFailure, createForwarder } from "../fixtures/forwarders.js";

/** Longer than it takes to refuse a request without a wait. */
const maxMilliseconds = 1_000;

describe("Forwarder.stop", () => {
    // Guards against a refusal that is late, as a busy node asks whether the caller is still there.
    it("refuses at once what it ends", async () => {
        const { forwarder, calls } = createForwarder({
            behaviour: async ({ signal }) => {
                await new Promise(resolve => signal.addEventListener("abort", resolve));
                return createCallFailure("broken");
            },
        });
        const caller = new CallerStandin();
        const isHandled = forwarder.handle(createCallerRequest(), caller);
        await waitUntil(() => calls.length === 1, { description: "the call" });
        caller.confirmCaller = () => new Promise(() => {});
        forwarder.stop();
        await Promise.race([isHandled, sleep(maxMilliseconds)]);
        expect([caller.refusal?.outcome, caller.refusal?.failure.kind]).toEqual(["unknown", "unavailable"]);
        expect(forwarder.getInFlight()).toEqual(0);
    });
});
