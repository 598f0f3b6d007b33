/**
 * Transfers replicas of bills between entries.
 */
import type { CopyBillsReply, CopyBillsRequest } from "../generated/peer.js";
import type { Member, Membership, NodeIdentity, PeerClient } from "../membership/index.js";
import type { BillReplicaStore } from "./billReplicaStore.js";
import type { BillCopyTarget } from "./billWriter.js";

const callTimeoutMilliseconds = 500;
/** After this number of peers that do not answer, waiting for the log is faster. */
const maxTargets = 3;

/** Options for replicating bills to peers. */
export interface PeerBillsOptions {
    readonly self: NodeIdentity;
    readonly membership: Pick<Membership, "getAlive">;
    readonly client: Pick<PeerClient, "copyBills">;
    /** Returns this node's Lamport counter. */
    readonly getCounter: () => number;
}

/**
 * Returns the peers that should store replicas: alive and in another failure domain, those of the same region first.
 *
 * A replica in the same failure domain would be lost together with the original when its power or switch fails.
 * @param options - The options.
 */
export function getBillCopyTargets(options: PeerBillsOptions): readonly BillCopyTarget[] {
    const { self, membership } = options;
    const others = membership.getAlive()
        .filter(member => member.id !== self.id && member.failureDomain !== self.failureDomain)
        .sort((left, right) =>
            getRegionRank(left, self) - getRegionRank(right, self) || compareInRing(self.id, left.id, right.id)
        );
    return others.slice(0, maxTargets).map(member => createTarget(options, member));
}

/**
 * Handles a peer's call.
 * @param store - The replica store of this node.
 * @param request - The request of the peer.
 * @param getCounter - Returns this node's Lamport counter.
 */
export function handleCopyBills(
    store: BillReplicaStore,
    request: CopyBillsRequest,
    getCounter: () => number,
): CopyBillsReply {
    const kept = store.retain(request.origin, request.bills, request.appended);
    return { kept: [...kept], counter: getCounter() };
}

function createTarget({ self, client, getCounter }: PeerBillsOptions, member: Member): BillCopyTarget {
    return {
        id: member.id,
        copy: async (bills, appended, origin = self.id) => {
            const request: CopyBillsRequest = {
                origin,
                bills: bills.map(bill => JSON.stringify(bill)),
                appended: [...appended],
                counter: getCounter(),
            };
            const reply = await client.copyBills(member, request, callTimeoutMilliseconds);
            return reply.match(({ kept }) => kept, () => undefined);
        },
    };
}

function getRegionRank(member: Member, self: NodeIdentity): number {
    return member.region === self.region ? 0 : 1;
}

/** Orders identifiers in a ring that starts after this node's, so that not all nodes call the same peer. */
function compareInRing(start: string, left: string, right: string): number {
    if ((left > start) !== (right > start)) {
        return left > start ? -1 : 1;
    }
    return left < right ? -1 : 1;
}
