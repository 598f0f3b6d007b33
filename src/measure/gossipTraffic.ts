/**
 * Measures the cost of gossip for a node, by the number of nodes: bytes per second, processor time, and the time until
 * an update reaches all nodes.
 *
 * All nodes run in one process and exchange over an in-memory network. Messages are encoded and decoded as on the wire.
 * The overhead of gRPC and of the connections is not included.
 */
import { ManualClock, RandomSource } from "../common/index.js";
import { Journal } from "../events/index.js";
import { ExchangeReply, ExchangeRequest, PushRequest } from "../generated/peer.js";
import { Gossip, type GossipTransport, Membership, type PeerAddress } from "../membership/index.js";
import type { Vm } from "../world/index.js";

const sizes = [8, 40, 100, 200, 350];
const wallStart = Date.UTC(2026, 0, 1);
const basePeriodMilliseconds = 500;
const maxValueBytesPerMessage = 64 * 1024;
const measuredPeriods = 12;
const maxPeriods = 60;
const changedValueBytes = 100;

/** Cost of gossip for each node at a given number of nodes. */
export interface GossipCost {
    readonly nodes: number;
    readonly periodMilliseconds: number;
    /** Bytes that a node sends and receives per second while nothing changes: mean and maximum over the nodes. */
    readonly idleBytesPerSecond: number;
    readonly idleGreatestBytesPerSecond: number;
    /** The same while every node changes a 100-byte value in each period. */
    readonly busyBytesPerSecond: number;
    readonly busyGreatestBytesPerSecond: number;
    /** Processor time of a node for one second of idle gossip, in milliseconds. */
    readonly idleProcessorMilliseconds: number;
    /** Time until all nodes have received a change that was not urgent. */
    readonly spreadMilliseconds: number;
    /** Share of the nodes that received an urgent change by push, without an exchange. */
    readonly pushedShare: number;
}

class MeasuredNode {
    readonly clock = new ManualClock(wallStart);
    readonly gossip: Gossip;
    readonly membership: Membership;
    readonly vm: Vm;
    bytes = 0;

    constructor(index: number, random: RandomSource, network: MeasuredNode[]) {
        const id = `vm-region-${index % 8}-entry-${index}`;
        const location = {
            address: String(index),
            peerPort: 1,
            failureDomain: `d${index % 17}`,
            region: `r${index % 8}`,
        };
        this.vm = { ...location, id, port: 1, role: "entry", pool: "", state: "live" };
        const journal = new Journal({ process: id, clock: this.clock, write: () => {} });
        const self = { id, ...location };
        this.gossip = new Gossip({
            self,
            clock: this.clock,
            random: new RandomSource(random.nextInteger(1_000_000)),
            journal,
            transport: this.#createTransport(network),
            periodMilliseconds: basePeriodMilliseconds,
            maxValueBytesPerMessage,
        });
        this.membership = new Membership({ self, gossip: this.gossip, clock: this.clock, journal });
    }

    #createTransport(network: MeasuredNode[]): GossipTransport {
        const find = (peer: PeerAddress) => network[Number(peer.address)];
        return {
            exchange: (peer, request) => {
                const sent = this.#count(find(peer), ExchangeRequest.encode(request).finish());
                const reply = find(peer).gossip.handleExchange(ExchangeRequest.decode(sent));
                return Promise.resolve(
                    ExchangeReply.decode(this.#count(find(peer), ExchangeReply.encode(reply).finish())),
                );
            },
            push: async (peer, request) => {
                const sent = this.#count(find(peer), PushRequest.encode(request).finish());
                await waitTurns(1);
                find(peer).gossip.handlePush(PushRequest.decode(sent));
                return true;
            },
        };
    }

    #count(other: MeasuredNode, message: Uint8Array): Uint8Array {
        this.bytes += message.length;
        other.bytes += message.length;
        return message;
    }
}

/**
 * Measures gossip at several numbers of nodes.
 * @param seed - Seed of the random choice of peers.
 */
export async function measureGossip(seed: number): Promise<readonly GossipCost[]> {
    const costs: GossipCost[] = [];
    for (const size of sizes) {
        costs.push(await measureSize(size, seed));
    }
    return costs;
}

/**
 * Formats the figures as a Markdown table.
 * @param costs - The figures.
 */
export function formatGossip(costs: readonly GossipCost[]): string {
    const lines = [
        "| nodes | period ms | idle B/s mean (max) | busy B/s mean (max) | processor ms/s | spread ms | pushed |",
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ];
    for (const cost of costs) {
        const idle = `${cost.idleBytesPerSecond} (${cost.idleGreatestBytesPerSecond})`;
        const busy = `${cost.busyBytesPerSecond} (${cost.busyGreatestBytesPerSecond})`;
        const processor = cost.idleProcessorMilliseconds.toFixed(2);
        const pushed = `${Math.round(cost.pushedShare * 100)} %`;
        const cells = [cost.nodes, cost.periodMilliseconds, idle, busy, processor, cost.spreadMilliseconds, pushed];
        lines.push(`| ${cells.join(" | ")} |`);
    }
    return lines.join("\n");
}

async function measureSize(size: number, seed: number): Promise<GossipCost> {
    const nodes = createNodes(size, seed);
    const period = nodes[0].gossip.getPeriodMilliseconds();
    await runUntil(nodes, () => nodes.every(node => node.membership.getAlive().length === size));
    const processorBefore = process.cpuUsage();
    const idle = await countBytes(nodes, () => {});
    const processor = process.cpuUsage(processorBefore);
    const first = nodes[0];
    first.gossip.set("news", Buffer.from("n"));
    const spread = await runUntil(nodes, () => countNodesWithKey(nodes, first.vm.id, "news") === size);
    first.gossip.set("halt", Buffer.from("h"), { urgent: true });
    await waitTurns(10);
    const busy = await countBytes(nodes, round => {
        for (const node of nodes) {
            node.gossip.set("load", Buffer.alloc(changedValueBytes, round));
        }
    });
    return {
        nodes: size,
        periodMilliseconds: period,
        idleBytesPerSecond: idle.mean,
        idleGreatestBytesPerSecond: idle.max,
        busyBytesPerSecond: busy.mean,
        busyGreatestBytesPerSecond: busy.max,
        idleProcessorMilliseconds: (processor.user + processor.system) / size / (measuredPeriods * period),
        spreadMilliseconds: spread * period,
        pushedShare: countNodesWithKey(nodes, first.vm.id, "halt") / size,
    };
}

function createNodes(size: number, seed: number): MeasuredNode[] {
    const random = new RandomSource(seed);
    const nodes: MeasuredNode[] = [];
    for (let index = 0; index < size; index += 1) {
        nodes.push(new MeasuredNode(index, random, nodes));
    }
    for (const node of nodes) {
        node.membership.setVms(nodes.map(other => other.vm));
    }
    return nodes;
}

async function runPeriod(nodes: readonly MeasuredNode[]): Promise<void> {
    for (const node of nodes) {
        node.clock.advance(node.gossip.getPeriodMilliseconds());
        await node.gossip.exchangeOnce();
    }
    await waitTurns(2);
}

async function runUntil(nodes: readonly MeasuredNode[], condition: () => boolean): Promise<number> {
    for (let period = 0; period < maxPeriods; period += 1) {
        if (condition()) {
            return period;
        }
        await runPeriod(nodes);
    }
    throw new Error(`${nodes.length} nodes did not converge within ${maxPeriods} gossip periods.`);
}

async function countBytes(
    nodes: readonly MeasuredNode[],
    beforeRound: (round: number) => void,
): Promise<{ readonly mean: number; readonly max: number; }> {
    for (const node of nodes) {
        node.bytes = 0;
    }
    for (let round = 0; round < measuredPeriods; round += 1) {
        beforeRound(round);
        await runPeriod(nodes);
    }
    const seconds = measuredPeriods * nodes[0].gossip.getPeriodMilliseconds() / 1_000;
    let total = 0;
    let max = 0;
    for (const node of nodes) {
        total += node.bytes;
        max = Math.max(max, node.bytes);
    }
    return { mean: Math.round(total / nodes.length / seconds), max: Math.round(max / seconds) };
}

function countNodesWithKey(nodes: readonly MeasuredNode[], origin: string, key: string): number {
    return nodes.filter(node => node.gossip.get(origin, key) !== undefined).length;
}

async function waitTurns(turns: number): Promise<void> {
    for (let turn = 0; turn < turns; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
