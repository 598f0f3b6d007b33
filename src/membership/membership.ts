/**
 * Determines the members and their states. The VM list defines which members may exist; gossip reports which of them
 * are alive and what they publish about themselves.
 */
import { createHash } from "node:crypto";
import type { Clock } from "../common/index.js";
import type { Journal } from "../events/index.js";
import type { Vm } from "../world/index.js";
import type { Gossip } from "./gossip.js";
import { incarnationKey } from "./gossipState.js";
import { type MemberState, MemberStates } from "./memberStates.js";
import type { NodeIdentity } from "./peerAddress.js";
import { newestProtocol, oldestProtocol, type ProtocolRange } from "./protocol.js";
import { PublishedNodes } from "./publishedNodes.js";

const nodeKey = "node";
const leavingKey = "leaving";
const offsetKey = "configuration-offset";
/**
 * Time for which the protocol of an unresponsive member still counts, since the member may still run and merely be cut
 * off from this node.
 */
const defaultProtocolRetentionMilliseconds = 10 * 60_000;
/**
 * Time for which a newly listed member is presumed alive at a small site. At a larger site, it is the time in which
 * updates reach all nodes. With a longer time, callers of a node that has just started would be sent to departed nodes.
 */
const minGracePeriodMilliseconds = 3_000;
const majority = 0.5;
/** The list of members is cached for this time, since every claim reads it. */
const cacheMilliseconds = 100;

/** A member; this node is one of them. */
export interface Member extends NodeIdentity {
    readonly state: MemberState;
    readonly protocol: ProtocolRange;
    /** Offset of the newest configuration that is in force at the member, or -1. */
    readonly configurationOffset: number;
    /** Milliseconds since its heartbeat last increased, or since it was listed if none was received. */
    readonly heartbeatAge: number;
    /** Whether this node has received any heartbeat of the member. */
    readonly hasBeenSeen: boolean;
}

/** Options of membership. */
export interface MembershipOptions {
    readonly self: NodeIdentity;
    readonly gossip: Gossip;
    readonly clock: Clock;
    readonly journal: Journal;
    /** The protocol versions that this program reads. */
    readonly protocol?: ProtocolRange;
    /** Time for which the protocol of an unresponsive member still counts. */
    readonly protocolRetentionMilliseconds?: number;
}

/** Maintains the members and their states. */
export class Membership {
    readonly #options: MembershipOptions;
    readonly #protocol: ProtocolRange;
    /** Monotonic time at which each VM was first listed here, by identifier. */
    readonly #listedAt = new Map<string, number>();
    readonly #states: MemberStates;
    readonly #publishedNodes = new PublishedNodes();
    #vms: readonly Vm[] = [];
    #isLeaving = false;
    #configurationOffset = -1;
    #cache: { readonly at: number; readonly members: readonly Member[]; } | undefined;
    readonly #collectors = new Map<string, Member>();

    constructor(options: MembershipOptions) {
        this.#options = options;
        this.#protocol = options.protocol ?? { oldest: oldestProtocol, newest: newestProtocol };
        this.#states = new MemberStates(options.journal);
        const { address, peerPort, failureDomain, region } = options.self;
        const node = { address, peerPort, failureDomain, region, ...this.#protocol };
        options.gossip.set(nodeKey, Buffer.from(JSON.stringify(node)));
        options.gossip.onUpdate((...[, key]) => this.#handleUpdate(key));
    }

    /**
     * Replaces the VM list, and passes it to gossip.
     * @param vms - All VMs.
     */
    setVms(vms: readonly Vm[]): void {
        this.#vms = vms.filter(vm => vm.role === "entry" && vm.peerPort !== undefined);
        const now = this.#options.clock.monotonic();
        const listed = new Set(this.#vms.map(vm => vm.id));
        for (const id of listed) {
            this.#listedAt.set(id, this.#listedAt.get(id) ?? now);
        }
        for (const id of this.#listedAt.keys()) {
            if (!listed.has(id)) {
                this.#listedAt.delete(id);
                this.#states.remove(id);
                this.#publishedNodes.remove(id);
            }
        }
        this.#cache = undefined;
        this.#options.gossip.setPeers(this.#vms);
    }

    /** Returns all members: this node and every entry of the VM list. */
    getMembers(): readonly Member[] {
        const now = this.#options.clock.monotonic();
        if (this.#cache !== undefined && now - this.#cache.at < cacheMilliseconds) {
            return this.#cache.members;
        }
        const members = [this.#createSelf()];
        for (const vm of this.#vms) {
            if (vm.id !== this.#options.self.id) {
                members.push(this.#createMember(vm));
            }
        }
        this.#cache = { at: now, members };
        this.#collectors.clear();
        return members;
    }

    /** Returns the members that are alive and not leaving. This node is among them unless it is leaving. */
    getAlive(): readonly Member[] {
        return this.getMembers().filter(member => member.state === "alive");
    }

    /**
     * Returns the members that are alive, and those that were listed so recently that no heartbeat can have arrived
     * yet. When a site starts, no node has received a heartbeat of another. A node that assumed it was the only one
     * would read the store on behalf of all and send all callers to itself; one that has received a few heartbeats
     * would send all callers to those few members.
     */
    getPresumedAlive(): readonly Member[] {
        const gracePeriodMilliseconds = this.#getGracePeriodMilliseconds();
        return this.getMembers().filter(({ state, hasBeenSeen, heartbeatAge }) =>
            state === "alive" || !hasBeenSeen && heartbeatAge < gracePeriodMilliseconds
        );
    }

    /**
     * Returns the members that may send requests to upstreams: all but those that are dead. A dead member may merely be cut off from
     * this node, and one that was listed recently may be alive although no heartbeat of it has arrived yet. Machines that were
     * replaced stay listed: if they counted for ever, shares of what all nodes may do together would shrink with each of them.
     * @param silentMilliseconds - Time for which a dead member still counts; by default that in which a first heartbeat arrives.
     */
    getPossiblySending(silentMilliseconds = this.#getGracePeriodMilliseconds()): readonly Member[] {
        return this.getMembers().filter(({ state, heartbeatAge }) =>
            state !== "dead" || heartbeatAge < silentMilliseconds
        );
    }

    /**
     * Returns the members whose addresses callers may receive: those presumed alive, without those that other nodes report as
     * unreachable. When most are reported, this node may be the one that is cut off, and the reports are ignored.
     */
    getAddressable(): readonly Member[] {
        const presumed = this.getPresumedAlive();
        const reachable = presumed.filter(({ id }) => !this.#options.gossip.isReportedUnreachable(id));
        return reachable.length > presumed.length * majority ? reachable : presumed;
    }

    /**
     * Returns a member.
     * @param id - Its identifier.
     */
    get(id: string): Member | undefined {
        return this.getMembers().find(member => member.id === id);
    }

    /**
     * Returns an identifier of the current run of a member's process, which differs between runs on the same VM.
     * @param id - The member's identifier.
     */
    getIncarnation(id: string): string | undefined {
        return this.#options.gossip.get(id, incarnationKey)?.toString();
    }

    /**
     * Returns the newest protocol version that all members read. Records and messages are written in no newer one.
     *
     * A member that was alive recently may merely be cut off, so it still counts. A listed VM of which no heartbeat was
     * received may run the oldest supported version, and counts as such until it had time to answer.
     */
    getCommonProtocol(): number {
        let common = this.#protocol.newest;
        const retentionMilliseconds = this.#options.protocolRetentionMilliseconds
            ?? defaultProtocolRetentionMilliseconds;
        for (const member of this.getMembers()) {
            if (member.heartbeatAge <= retentionMilliseconds) {
                common = Math.min(common, member.protocol.newest);
            }
        }
        return common;
    }

    /**
     * Returns the collector of a partition, by rendezvous hashing over the members that are alive. Nodes with different
     * member lists may disagree for a while; this affects speed but not safety.
     * @param partition - The partition, such as `claims-3`.
     */
    getCollector(partition: string): Member | undefined {
        const alive = this.getAlive();
        const known = this.#collectors.get(partition);
        if (known !== undefined) {
            return known;
        }
        let best: Member | undefined;
        let bestWeight = "";
        for (const member of alive) {
            const weight = createHash("sha1").update(`${partition} ${member.id}`).digest("hex");
            if (best === undefined || weight > bestWeight) {
                best = member;
                bestWeight = weight;
            }
        }
        if (best !== undefined) {
            this.#collectors.set(partition, best);
        }
        return best;
    }

    /** Returns the share of listed entries that are reachable, including this node. */
    getReachableShare(): number {
        const members = this.getMembers();
        const reachable = members.filter(member => member.state === "alive" || member.state === "leaving");
        return reachable.length / members.length;
    }

    /**
     * Returns whether at most half of the listed entries are reachable, so this node is not on the majority side of a
     * network partition.
     */
    isMajorityUnreachable(): boolean {
        return this.getReachableShare() <= majority;
    }

    /** Announces to all members that this one is leaving. */
    announceLeaving(): void {
        this.#isLeaving = true;
        this.#cache = undefined;
        this.#options.gossip.set(leavingKey, Buffer.from("1"), { urgent: true });
    }

    /**
     * Publishes the newest configuration that is in force at this node.
     * @param offset - Its offset.
     */
    setConfigurationOffset(offset: number): void {
        if (offset !== this.#configurationOffset) {
            this.#configurationOffset = offset;
            this.#cache = undefined;
            this.#options.gossip.set(offsetKey, Buffer.from(String(offset)));
        }
    }

    /**
     * Clears the cache only for keys that describe members, since other values, such as evidence on roll-outs, arrive
     * many times a second at a large site.
     */
    #handleUpdate(key: string): void {
        if (key === nodeKey || key === leavingKey || key === offsetKey || key === incarnationKey) {
            this.#cache = undefined;
        }
    }

    #getGracePeriodMilliseconds(): number {
        return Math.max(minGracePeriodMilliseconds, this.#options.gossip.getPropagationMilliseconds());
    }

    #createSelf(): Member {
        return {
            ...this.#options.self,
            state: this.#isLeaving ? "leaving" : "alive",
            protocol: this.#protocol,
            configurationOffset: this.#configurationOffset,
            heartbeatAge: 0,
            hasBeenSeen: true,
        };
    }

    #createMember(vm: Vm): Member {
        const { gossip } = this.#options;
        const node = this.#publishedNodes.parse(vm.id, gossip.get(vm.id, nodeKey));
        const listedAge = this.#options.clock.monotonic() - (this.#listedAt.get(vm.id) ?? 0);
        const offset = gossip.get(vm.id, offsetKey);
        const age = gossip.getHeartbeatAge(vm.id);
        const isLeaving = vm.state === "leaving" || gossip.get(vm.id, leavingKey) !== undefined;
        const suspicionTimeout = gossip.getSuspicionTimeoutMilliseconds();
        const state = this.#states.determine({ id: vm.id, heartbeatAge: age, isLeaving, suspicionTimeout });
        return {
            id: vm.id,
            address: vm.address,
            peerPort: vm.peerPort ?? 0,
            failureDomain: vm.failureDomain,
            region: vm.region,
            state,
            protocol: node === undefined
                ? { oldest: this.#protocol.oldest, newest: this.#protocol.oldest }
                : { oldest: node.oldest, newest: node.newest },
            configurationOffset: offset === undefined ? -1 : Number(offset.toString()),
            heartbeatAge: age ?? listedAge,
            hasBeenSeen: age !== undefined,
        };
    }
}
