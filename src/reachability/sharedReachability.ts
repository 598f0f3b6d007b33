/**
 * Exchanges between nodes which pools they cannot reach.
 */
import { z } from "zod";
import type { Gossip, Member } from "../membership/index.js";
import type { Reachability } from "./reachability.js";

/** Gossip key of the pools that a node cannot reach. */
const unreachablePoolsKey = "unreachable-pools";
const majority = 0.5;
/** Pools become unreachable one shortly after the other; they are published together. */
const publicationDelayMilliseconds = 20;
const reportSchema = z.object({ pools: z.array(z.string()), isCutOff: z.boolean() });

/** What a node publishes about its paths to upstreams. */
interface ReachabilityReport {
    /** Names of the pools of which the node reaches no upstream. */
    readonly pools: readonly string[];
    /** Whether the node reaches no upstream of any pool. */
    readonly isCutOff: boolean;
}

const emptyReport: ReachabilityReport = { pools: [], isCutOff: false };

/** Options of `SharedReachability`. */
export interface SharedReachabilityOptions {
    /** Identifier of this node. */
    readonly self: string;
    readonly gossip: Pick<Gossip, "get" | "set">;
    readonly reachability: Pick<Reachability, "getUnreachable" | "isCutOff" | "onChange">;
}

/** Knows which pools each node cannot reach. */
export class SharedReachability {
    readonly #options: SharedReachabilityOptions;
    readonly #parsed = new WeakMap<Buffer, ReachabilityReport>();
    #timer: NodeJS.Timeout | undefined;

    constructor(options: SharedReachabilityOptions) {
        this.#options = options;
        options.reachability.onChange(() => {
            this.#timer ??= setTimeout(() => this.#publish(), publicationDelayMilliseconds);
        });
    }

    /**
     * Returns whether another node has not reported that it cannot reach a pool.
     * @param node - Identifier of the node.
     * @param pool - Name of the pool.
     */
    reaches(node: string, pool: string): boolean {
        return !this.#getReport(node).pools.includes(pool);
    }

    /**
     * Returns the members that reach upstreams, or all when these are no majority. The few that are left could not serve the callers
     * of all; those that are cut off forward what they receive.
     * @param members - Members whose addresses callers may receive.
     */
    preferReaching(members: readonly Member[]): readonly Member[] {
        const reaching = members.filter(({ id }) => !this.#isCutOff(id));
        return reaching.length > members.length * majority ? reaching : members;
    }

    #isCutOff(node: string): boolean {
        const { self, reachability } = this.#options;
        return node === self ? reachability.isCutOff() : this.#getReport(node).isCutOff;
    }

    #getReport(node: string): ReachabilityReport {
        const value = this.#options.gossip.get(node, unreachablePoolsKey);
        if (value === undefined) {
            return emptyReport;
        }
        const known = this.#parsed.get(value);
        if (known !== undefined) {
            return known;
        }
        const report = parseReport(value);
        this.#parsed.set(value, report);
        return report;
    }

    /** Urgent, since the others choose by it whom they ask to forward requests. */
    #publish(): void {
        this.#timer = undefined;
        const { gossip, reachability } = this.#options;
        const report: ReachabilityReport = { pools: reachability.getUnreachable(), isCutOff: reachability.isCutOff() };
        gossip.set(unreachablePoolsKey, Buffer.from(JSON.stringify(report)), { urgent: true });
    }
}

function parseReport(value: Buffer): ReachabilityReport {
    try {
        return reportSchema.parse(JSON.parse(value.toString()));
    }
    catch {
        // A newer release may publish another format. A node that cannot forward a request then says so when it is asked.
        return emptyReport;
    }
}
