/**
 * Reports of peers that did not answer, as other nodes have announced them. A report names the heartbeat that the reporter knew, so
 * a peer that is back contradicts it with its next heartbeat.
 */
import { z } from "zod";

const reportSchema = z.array(z.object({ id: z.string(), heartbeat: z.number() }));

/** A report about one peer. */
export interface UnreachableReport {
    readonly id: string;
    /** The newest heartbeat of the peer that the reporter had received. */
    readonly heartbeat: number;
}

/** Maximum number of reports that a node publishes; older ones have had time to spread. */
const maxReports = 16;

/**
 * Heartbeats after the reported one that the peer may have sent before it failed: the reporter exchanges with it only every few
 * periods, and these heartbeats may arrive through other nodes after the report.
 */
const heartbeatSlack = 4;

/** Collects reports of all nodes, and holds those of this node. */
export class UnreachablePeers {
    /** The newest reported heartbeat, by peer. */
    readonly #heartbeats = new Map<string, number>();
    #own: readonly UnreachableReport[] = [];

    /**
     * Adds a report of this node.
     * @returns The value to publish.
     */
    add(report: UnreachableReport): Buffer {
        this.#set(report);
        this.#own = [...this.#own.filter(({ id }) => id !== report.id), report].slice(-maxReports);
        return Buffer.from(JSON.stringify(this.#own));
    }

    /**
     * Applies the reports that another node published.
     * @param value - The published value. It is ignored if it cannot be read.
     */
    apply(value: Buffer): void {
        for (const report of parseReports(value)) {
            this.#set(report);
        }
    }

    /**
     * Returns whether a report adds nothing to those known.
     * @param report - The report.
     */
    includes({ id, heartbeat }: UnreachableReport): boolean {
        return heartbeat <= (this.#heartbeats.get(id) ?? Number.NEGATIVE_INFINITY);
    }

    /**
     * Returns whether a peer was reported and has sent no heartbeat since.
     * @param id - The peer.
     * @param heartbeat - Its newest heartbeat that this node has received.
     */
    isReported(id: string, heartbeat: number): boolean {
        return this.includes({ id, heartbeat: heartbeat - heartbeatSlack });
    }

    /** Removes the reports about all peers except the given ones. */
    retain(peers: ReadonlyMap<string, unknown>): void {
        for (const id of this.#heartbeats.keys()) {
            if (!peers.has(id)) {
                this.#heartbeats.delete(id);
            }
        }
    }

    #set({ id, heartbeat }: UnreachableReport): void {
        this.#heartbeats.set(id, Math.max(heartbeat, this.#heartbeats.get(id) ?? heartbeat));
    }
}

function parseReports(value: Buffer): readonly UnreachableReport[] {
    try {
        return reportSchema.parse(JSON.parse(value.toString()));
    }
    catch {
        // A newer release may publish another format. Peers are then suspected by the age of their heartbeats only.
        return [];
    }
}
