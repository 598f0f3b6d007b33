import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout } from "node:timers/promises";
import type { ReportedLoad } from "../../src/forwarding/index.js";
import {
    CallerStandin,
    createAnswer,
    createCallerRequest,
    createCallFailure,
    createForwarder,
} from "../fixtures/forwarders.js";
import { createRoute, createRouteTable } from "../fixtures/routes.js";

const fullLoad: ReportedLoad = { running: 16, waiting: 40, slots: 16 };

/** Creates a caller whose leaving is read as soon as somebody asks whether it is still there, from a number of questions on. */
function createDepartedCaller(fromQuestion: number): CallerStandin {
    const caller = new CallerStandin();
    let questions = 0;
    caller.confirmCaller = () => {
        questions += 1;
        if (questions >= fromQuestion) {
            caller.disconnect();
        }
        return Promise.resolve();
    };
    return caller;
}

describe("callers whose leaving was not read yet", () => {
    for (const kind of ["idempotent", "at-most-once", "stream"] as const) {
        const getRoutes = () =>
            createRouteTable({ routes: [createRoute({ kind, maxAttempts: 3, isResumable: true })] });

        // Guards against upstreams that work for nobody.
        it(`get no attempt (${kind})`, async () => {
            const { forwarder, calls } = createForwarder({ getRoutes });
            await forwarder.handle(createCallerRequest(), createDepartedCaller(1));
            expect(calls.length).toEqual(0);
        });

        // Guards against a retry at another upstream that is made for nobody.
        it(`get no further attempt (${kind})`, async () => {
            const { forwarder, calls } = createForwarder({ getRoutes, behaviour: () => createCallFailure("refused") });
            await forwarder.handle(createCallerRequest(), createDepartedCaller(2));
            expect(calls.length).toEqual(1);
        });
    }

    // Guards against room that is given to nobody after a wait.
    it("get no attempt after they have waited for room", async () => {
        const { forwarder, send, calls } = createForwarder({
            behaviour: async () => {
                await setTimeout(30);
                return createAnswer(["done"], { load: fullLoad });
            },
        });
        await Promise.all(Array.from({ length: 5 }, () => send()));
        const callers = Array.from({ length: 20 }, () => createDepartedCaller(2));
        const handled = callers.map(caller => forwarder.handle(createCallerRequest(), caller));
        await Promise.all(handled);
        expect([calls.length, callers.every(({ status }) => status === undefined)]).toEqual([5, true]);
    });
});
