import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import { SessionPins } from "../../src/claims/index.js";
import { type ClaimNode, type ClaimNodeOptions, createClaimNode } from "../fixtures/claimNodes.js";
import { MemoryLog } from "../fixtures/memoryLog.js";

const nodes: ClaimNode[] = [];

function createNode(options: ClaimNodeOptions): ClaimNode {
    const node = createClaimNode(options);
    nodes.push(node);
    return node;
}

afterEach(async () => {
    await Promise.all(nodes.splice(0).map(node => node.stop()));
});

describe("SessionPins", () => {
    describe("pin", () => {
        // Guards against a session that changes its version: two first requests of a conversation arrive at two entries
        // that propose different versions, and both must be answered from the same one.
        it("returns the same version at both entries", async () => {
            const log = new MemoryLog();
            const pins = ["a", "b"].map(name => new SessionPins(createNode({ log, name }).client));
            const request = { workspace: "agenzia", session: "bench-1", requestId: "r" };
            const versions = await Promise.all([
                pins[0].pin({ ...request, proposal: "plan@1" }),
                pins[1].pin({ ...request, proposal: "plan@2" }),
            ]);
            expect(versions[0]._unsafeUnwrap()).toEqual(versions[1]._unsafeUnwrap());
            await Promise.all(nodes.splice(0).map(node => node.stop()));
        });

        // Guards against lost and changed sessions: the log is unavailable, and the pin is so old that its next use
        // would renew it. The session must continue with its version, but not with a pin that may have expired without
        // notice.
        it("continues with a known pin while the log is unavailable, as long as the pin cannot have expired", async () => {
            const hour = 3_600_000;
            for (const [age, isKnown] of [[10 * hour, true], [40 * hour, true], [60 * hour, false]] as const) {
                const log = new MemoryLog();
                const node = createNode({ log, decisionTimeoutMilliseconds: 50 });
                const pins = new SessionPins(node.client);
                const request = { workspace: "agenzia", session: "bench-1", requestId: "r" };
                await pins.pin({ ...request, proposal: "plan@1" });
                log.decideOutcome = () => "dropped";
                node.clock.advance(age);
                const pinned = await pins.pin({ ...request, proposal: "plan@2" });
                expect(pinned.unwrapOr("unavailable")).toEqual(isKnown ? "plan@1" : "unavailable");
                await Promise.all(nodes.splice(0).map(stopped => stopped.stop()));
            }
        });
    });
});
