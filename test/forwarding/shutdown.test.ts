import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { Shutdown } from "../../src/forwarding/index.js";
import { createRoute, createStreamRoute } from "../fixtures/routes.js";

describe("Shutdown", () => {
    // Callers connect for seconds to a node that is stopping. Requests that it accepts but cannot complete are truncated.
    it("accepts requests that can complete in time, and refuses the others at once", () => {
        const clock = new ManualClock();
        const shutdown = new Shutdown(clock);
        const call = createRoute({ timeoutMilliseconds: 800 });
        const stream = createStreamRoute();
        const check = () => [call, stream].map(route => shutdown.check(route) === undefined);
        expect(check()).toEqual([true, true]);
        shutdown.start(8_000);
        clock.advance(2_000);
        expect(check()).toEqual([true, true]);
        clock.advance(1_500);
        expect(check()).toEqual([true, false]);
        clock.advance(3_800);
        expect(check()).toEqual([false, false]);
        expect(shutdown.check(stream)?.retryAfterMilliseconds).toEqual(50);
    });
});
