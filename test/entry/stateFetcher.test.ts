import { expect } from "earl";
import { err } from "neverthrow";
import { describe, it } from "node:test";
import { Failure, ManualClock } from "../../src/common/index.js";
import { StateFetcher } from "../../src/entry/stateFetcher.js";
import type { Member } from "../../src/membership/index.js";

const logWaitMilliseconds = 2_000;

/** Runs a fetcher of an entry whose configuration was confirmed some time ago, and counts its requests to peers. */
async function countRequests(configurationAgeMilliseconds: number): Promise<number> {
    let requests = 0;
    const fetcher = new StateFetcher({
        clock: new ManualClock(),
        configuration: {
            getAge: () => configurationAgeMilliseconds,
            getOffset: () => 7,
            getFormat: () => 1,
            exportState: () => undefined as never,
            importState: () => undefined as never,
            confirm: () => {},
        },
        control: { getOffset: () => 3, exportState: () => undefined as never, importState: () => undefined as never },
        membership: { getMembers: () => [createMember("entry-2")] },
        client: {
            fetchState: () => {
                requests += 1;
                const failure = new Failure({ kind: "unavailable", message: "Unavailable.", remedy: "Wait." });
                return Promise.resolve(err(failure));
            },
        },
        self: "entry-1",
        getCounter: () => 0,
        nextInteger: () => 0,
        logWaitMilliseconds,
    });
    fetcher.start();
    await fetcher.stop();
    return requests;
}

function createMember(id: string): Member {
    return {
        id,
        address: "127.0.0.1",
        peerPort: 1,
        failureDomain: "pasig-a",
        region: "manila",
        state: "alive",
        protocol: { oldest: 1, newest: 1 },
        configurationOffset: 7,
        heartbeatAge: 0,
        hasBeenSeen: true,
    };
}

describe("StateFetcher", () => {
    // The log is available and nothing is published. A read that waits two seconds confirms the configuration as of the
    // time of its request, so the age rises up to four seconds. Nodes that queried three peers each, twice a second, at
    // that age would spend more on these queries than on all their other control traffic.
    it("queries no peers while the log answers long polls", async () => {
        expect(await countRequests(2 * logWaitMilliseconds)).toEqual(0);
    });

    // A node is cut off from the log. A version may have been withdrawn since, and the node would still serve it to
    // callers.
    it("queries peers once a read of the log is overdue", async () => {
        expect(await countRequests(5_000)).toEqual(2);
    });
});
