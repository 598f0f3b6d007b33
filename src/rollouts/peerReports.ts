/**
 * The reports of other nodes on a roll-out, each decoded once and summed.
 */
import {
    addEvidence,
    decodeReport,
    type EvidenceCounts,
    evidenceMilliseconds,
    type EvidenceReport,
} from "./rolloutEvidence.js";

/** A report received from another node. */
export interface PeerReport {
    readonly origin: string;
    /** A new object for each publication of the other node. */
    readonly value: Buffer;
}

/** The sum of all reports on one order, including this node's own one. */
export interface ReportTotal {
    /** Requests in flight at upstreams of the old version. */
    readonly currentInFlight: number;
    readonly segments: EvidenceCounts;
    readonly ages: ReportAges;
}

/** How old the reports of the other nodes are that a total contains, since their arrival and in milliseconds. */
export interface ReportAges {
    readonly count: number;
    readonly median: number;
    readonly max: number;
}

interface DecodedReport {
    readonly value: Buffer;
    readonly report: EvidenceReport | undefined;
    /** Monotonic milliseconds of the first reading. */
    readonly readAt: number;
}

/**
 * Reads the reports of the other nodes. During a roll-out a node reads all of them several times a second, and most
 * have not changed since the last time. Decoding each of them every time cost a fleet of 195 nodes more than all its
 * callers' requests.
 */
export class PeerReports {
    readonly #decode: (value: Buffer) => EvidenceReport | undefined;
    /** By origin. */
    readonly #decoded = new Map<string, DecodedReport>();

    /** @param decode - Decodes a report. Tests replace it. */
    constructor(decode: (value: Buffer) => EvidenceReport | undefined = decodeReport) {
        this.#decode = decode;
    }

    /**
     * Sums the reports on an order.
     * @param own - This node's own report.
     * @param peers - The latest values of the other nodes. Cached reports of origins that are not listed are removed.
     * @param now - Monotonic milliseconds.
     */
    getTotal(own: EvidenceReport, peers: Iterable<PeerReport>, now: number): ReportTotal {
        const parts = [own.segments];
        const ages: number[] = [];
        let currentInFlight = own.currentInFlight;
        const listed = new Set<string>();
        for (const peer of peers) {
            listed.add(peer.origin);
            const { report, readAt } = this.#get(peer, now);
            if (report?.order !== own.order) {
                continue;
            }
            currentInFlight += report.currentInFlight;
            // A node that runs reports again as soon as something of its last report has become too old to count.
            if (now - readAt <= evidenceMilliseconds) {
                parts.push(report.segments);
                ages.push(now - readAt);
            }
        }
        this.#removeUnlisted(listed);
        return { currentInFlight, segments: addEvidence(parts), ages: summarizeAges(ages) };
    }

    #get({ origin, value }: PeerReport, now: number): DecodedReport {
        const known = this.#decoded.get(origin);
        if (known?.value === value) {
            return known;
        }
        const decoded = { value, report: this.#decode(value), readAt: now };
        this.#decoded.set(origin, decoded);
        return decoded;
    }

    #removeUnlisted(listed: ReadonlySet<string>): void {
        for (const origin of this.#decoded.keys()) {
            if (!listed.has(origin)) {
                this.#decoded.delete(origin);
            }
        }
    }
}

function summarizeAges(ages: readonly number[]): ReportAges {
    const sorted = ages.toSorted((first, second) => first - second);
    return { count: sorted.length, median: sorted[Math.floor(sorted.length / 2)] ?? 0, max: sorted.at(-1) ?? 0 };
}
