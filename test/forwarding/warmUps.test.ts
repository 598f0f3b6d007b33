import { expect } from "earl";
import { describe, it } from "node:test";
import type { RegisteredUpstream } from "../../src/fleet/index.js";
import { createForwarder } from "../fixtures/forwarders.js";
import { createUpstream } from "../fixtures/upstreams.js";

const warming = createUpstream("new", { version: "v2", warmUpMilliseconds: 60_000 });
const warm = createUpstream("old", { version: "v1" });

/** Chooses the new version while it has upstreams, as a roll-out does for a part of the sessions. */
function selectNewVersion(upstreams: readonly RegisteredUpstream[]): readonly RegisteredUpstream[] {
    const candidates = upstreams.filter(({ version }) => version === "v2");
    return candidates.length > 0 ? candidates : upstreams;
}

describe("upstreams that warm up", () => {
    // Guards against refusals at the beginning of a roll-out, when all upstreams of the new version have just started.
    it("leave what exceeds their rate to a version with warm upstreams", async () => {
        const { send, calls } = createForwarder({
            upstreams: [warming, warm],
            warmUpRequestsPerSecond: 11,
            selectVersion: selectNewVersion,
        });
        for (let request = 0; request < 6; request += 1) {
            expect((await send({ id: `request-${request}` })).status).toEqual(200);
        }
        expect(calls.map(({ upstream }) => upstream)).toEqual(["new", "new", "old", "old", "old", "old"]);
    });

    // Guards against callers who wait although no upstream may serve them yet.
    it("refuse at once what exceeds their rate when no other upstream is left", async () => {
        const { send, calls } = createForwarder({ upstreams: [warming], warmUpRequestsPerSecond: 11 });
        const callers = [];
        for (let request = 0; request < 3; request += 1) {
            callers.push(await send({ id: `request-${request}` }));
        }
        expect(calls.length).toEqual(2);
        expect(callers[2].refusal?.outcome).toEqual("not-run");
        expect(callers[2].refusal?.failure.kind).toEqual("unavailable");
        expect(callers[2].refusal!.failure.retryAfterMilliseconds! > 0).toEqual(true);
    });
});
