import { expect } from "earl";
import { describe, it } from "node:test";
import { PeerReports } from "../../src/rollouts/peerReports.js";
import { decodeReport, encodeReport, type EvidenceReport } from "../../src/rollouts/rolloutEvidence.js";

const counts = { answers: 10, failures: 1, times: [], waits: [], pauses: [], pauseWaits: [] };
const none = { answers: 0, failures: 0, times: [], waits: [], pauses: [], pauseWaits: [] };

function createReport(order: number, currentInFlight: number): EvidenceReport {
    return { order, currentInFlight, segments: new Map([["route", { current: counts, candidate: none }]]) };
}

function createPeers(count: number): { readonly origin: string; readonly value: Buffer; }[] {
    return Array.from(
        { length: count },
        (...[, index]) => ({ origin: `n-${index}`, value: encodeReport(createReport(7, 2)) }),
    );
}

describe("PeerReports", () => {
    it("sums this node's counts and those of all others", () => {
        const total = new PeerReports().getTotal(createReport(7, 3), createPeers(4), 0);
        expect(total.currentInFlight).toEqual(11);
        expect(total.segments.get("route")?.current.answers).toEqual(50);
    });

    it("ignores reports on another order and unreadable reports", () => {
        const peers = [
            { origin: "n-0", value: encodeReport(createReport(6, 2)) },
            { origin: "n-1", value: Buffer.from("{}") },
        ];
        expect(new PeerReports().getTotal(createReport(7, 3), peers, 0).currentInFlight).toEqual(3);
    });

    // In a fleet of 195 nodes each one reads the reports of all others during a roll-out. If it decoded every report at
    // each read, the nodes would spend more time on that than on requests, and callers would get late answers.
    it("decodes a report once, however often it is read", () => {
        let decoded = 0;
        const reports = new PeerReports(value => {
            decoded += 1;
            return decodeReport(value);
        });
        const peers = createPeers(194);
        for (let read = 0; read < 100; read += 1) {
            reports.getTotal(createReport(7, 3), peers, 0);
        }
        expect(decoded).toEqual(194);
        peers[5] = { origin: "n-5", value: encodeReport(createReport(7, 9)) };
        expect(reports.getTotal(createReport(7, 3), peers, 0).currentInFlight).toEqual(3 + 193 * 2 + 9);
        expect(decoded).toEqual(195);
    });

    // Guards against the answers of a node that has gone, which would be counted as those of the last seconds for a minute.
    it("counts no answers of a node that has not reported for as long as answers count", () => {
        const reports = new PeerReports();
        const [gone, running] = createPeers(2);
        reports.getTotal(createReport(7, 0), [gone, running], 0);
        const renewed = { ...running, value: encodeReport(createReport(7, 2)) };
        const total = reports.getTotal(createReport(7, 0), [gone, renewed], 6_001);
        expect([total.segments.get("route")?.current.answers, total.ages.count, total.currentInFlight]).toEqual([
            20,
            1,
            4,
        ]);
    });

    it("drops the reports of nodes that are not listed any more", () => {
        const reports = new PeerReports();
        const peers = createPeers(2);
        reports.getTotal(createReport(7, 0), peers, 0);
        expect(reports.getTotal(createReport(7, 0), peers.slice(1), 0).currentInFlight).toEqual(2);
    });
});
