/**
 * Members for docs/CAPACITY.md: the cost of a node's list of all members.
 */
import { ManualClock, RandomSource } from "../../common/index.js";
import { Journal } from "../../events/index.js";
import { Gossip, Membership, newestProtocol, oldestProtocol } from "../../membership/index.js";
import type { Vm } from "../../world/index.js";

const wallStart = Date.UTC(2026, 0, 1);
const domainCount = 17;
const regionCount = 8;
/** Longer than the lifetime of the cached list of members, so that each call recomputes the list. */
const cacheExpiryMilliseconds = 500;

/** A node that has received the records of other nodes. */
export interface Node {
    readonly clock: ManualClock;
    readonly membership: Membership;
}

/**
 * Builds a node that has received the records of other nodes.
 * @param count - The number of other nodes.
 */
export function buildNode(count: number): Node {
    const clock = new ManualClock(wallStart);
    const vms = Array.from({ length: count }, (_, index) => createVm(index));
    const self = { id: "self", address: "10.0.0.1", peerPort: 1, failureDomain: "domain-0", region: "region-0" };
    const journal = new Journal({ process: self.id, clock, write: () => undefined });
    const gossip = new Gossip({
        self,
        clock,
        random: new RandomSource(1),
        journal,
        transport: { exchange: () => Promise.resolve(undefined), push: () => Promise.resolve(true) },
        periodMilliseconds: cacheExpiryMilliseconds,
        maxValueBytesPerMessage: 1,
    });
    const membership = new Membership({ self, gossip, clock, journal });
    membership.setVms(vms);
    const items = vms.map(({ id, address, peerPort, failureDomain, region }) => ({
        origin: id,
        key: "node",
        version: 1,
        removed: false,
        value: Buffer.from(JSON.stringify({
            address,
            peerPort,
            failureDomain,
            region,
            oldest: oldestProtocol,
            newest: newestProtocol,
        })),
    }));
    gossip.handlePush({ sender: "other", counter: 0, items, bases: [], hops: 0 });
    return { clock, membership };
}

/**
 * Returns a function that rebuilds the list of members, which several parts of an entry request every second.
 * @param count - The number of other nodes.
 */
export function prepareMembers(count: number): () => void {
    const { clock, membership } = buildNode(count);
    return () => {
        clock.advance(cacheExpiryMilliseconds);
        membership.getMembers();
    };
}

function createVm(index: number): Vm {
    return {
        id: `entry-${index}`,
        address: `10.1.${Math.floor(index / 250)}.${index % 250}`,
        port: 80,
        peerPort: 81,
        role: "entry",
        pool: "",
        failureDomain: `domain-${index % domainCount}`,
        region: `region-${index % regionCount}`,
        state: "live",
    };
}
