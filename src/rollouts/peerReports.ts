/**
 * What the other nodes report of a roll-out, decoded once and added up.
 */
import { addEvidence, decodeReport, type EvidenceCounts, type EvidenceReport } from "./rolloutEvidence.js";

/** What a node hears from another one. */
export interface PeerReport {
    readonly origin: string;
    /** Another object whenever the other node published anew. */
    readonly value: Buffer;
}

/** All reports on one order, and this node's own counts among them. */
export interface ReportTotal {
    /** Requests at work at upstreams of the old version. */
    readonly currentInFlight: number;
    readonly segments: EvidenceCounts;
}

interface DecodedReport {
    readonly value: Buffer;
    readonly report: EvidenceReport | undefined;
}

/**
 * Reads the reports of the other nodes. A node looks at all of them several times a second while a roll-out is under way, and
 * most have not changed since; decoding every one at every look cost a fleet of 195 nodes more than all requests of its callers.
 */
export class PeerReports {
    readonly #decode: (value: Buffer) => EvidenceReport | undefined;
    /** By origin. */
    readonly #decoded = new Map<string, DecodedReport>();

    /** @param decode - Decodes a report; tests give another. */
    constructor(decode: (value: Buffer) => EvidenceReport | undefined = decodeReport) {
        this.#decode = decode;
    }

    /**
     * Adds up what is reported of an order.
     * @param own - This node's own report.
     * @param peers - The newest values of the other nodes. Origins that are not among them are forgotten.
     */
    getTotal(own: EvidenceReport, peers: Iterable<PeerReport>): ReportTotal {
        const parts = [own.segments];
        let currentInFlight = own.currentInFlight;
        const listed = new Set<string>();
        for (const peer of peers) {
            listed.add(peer.origin);
            const report = this.#get(peer);
            if (report?.order === own.order) {
                parts.push(report.segments);
                currentInFlight += report.currentInFlight;
            }
        }
        this.#removeUnlisted(listed);
        return { currentInFlight, segments: addEvidence(parts) };
    }

    #get({ origin, value }: PeerReport): EvidenceReport | undefined {
        const known = this.#decoded.get(origin);
        if (known?.value === value) {
            return known.report;
        }
        const report = this.#decode(value);
        this.#decoded.set(origin, { value, report });
        return report;
    }

    #removeUnlisted(listed: ReadonlySet<string>): void {
        for (const origin of this.#decoded.keys()) {
            if (!listed.has(origin)) {
                this.#decoded.delete(origin);
            }
        }
    }
}
