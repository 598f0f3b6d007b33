import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { type Liveness, probeLife } from "../../src/reachability/index.js";

const upstream = { id: "u1", pool: "app" };

/** Looks at an upstream that gives the answers one after the other, each after a time. */
function look(answers: readonly Liveness[], { isPoolReachable = true, milliseconds = 1 } = {}) {
    const left = [...answers];
    const clock = new ManualClock();
    return probeLife(upstream, {
        clock,
        reachability: {
            check: (pool, excluded) => Promise.resolve(isPoolReachable && pool === "app" && excluded === "u1"),
        },
        checkLiveness: () => {
            clock.advance(milliseconds);
            return Promise.resolve(left.shift() ?? "unanswered");
        },
    });
}

describe("probeLife", () => {
    it("tells an upstream that answers from one that has started anew", async () => {
        expect([await look(["running"]), await look(["replaced"])]).toEqual(["running", "ended"]);
    });

    // Guards against a sound upstream that is taken for ended since its connections were reset together.
    it("asks again before it takes an upstream for unresponsive", async () => {
        expect([await look(["unanswered", "running"]), await look(["unanswered", "unanswered"])]).toEqual([
            "running",
            "unresponsive",
        ]);
    });

    // Guards against a part of prompts that ends runners for a second longer than it has to, since each is asked twice.
    it("does not ask again one that has let a request wait", async () => {
        expect(await look(["unanswered", "running"], { milliseconds: 1_000 })).toEqual("unresponsive");
    });

    // Guards against a node that has lost its paths, to which all upstreams are silent.
    it("knows nothing of upstreams that it could not ask, or of a pool that it does not reach", async () => {
        expect([await look(["unasked"]), await look(["unanswered"], { isPoolReachable: false })]).toEqual([
            "unknown",
            "unknown",
        ]);
    });
});
