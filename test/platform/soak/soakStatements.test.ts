import { expect } from "earl";
import { describe, it } from "node:test";
import type { NodeOutage } from "./soakLimit.js";
import { findStatementViolations, leavingRunner, restingRunner, type StatementArrival } from "./soakStatements.js";

const node = "node-1";

describe("what a soak test finds in the statements of runners", () => {
    // Guards against a soak that no longer notices a node that goes on sending to a runner which has said that it leaves.
    it("is a request that is sent to a leaving runner two seconds after it told the node", () => {
        const told = createArrival({ at: 0, isTold: true });
        expect(findViolations([told, createArrival({ at: 1_900, isTold: true })])).toEqual([]);
        expect(findViolations([told, createArrival({ at: 2_100, isTold: true })]).length).toEqual(1);
    });

    // Guards against a soak that no longer notices a node that goes on sending to a runner which has asked for rest.
    it("is a third request within a rest", () => {
        const arrivals = [0, 600, 800, 1_000].map(at => createArrival({ runner: restingRunner, at, isTold: at === 0 }));
        expect(findViolations(arrivals.slice(0, 3))).toEqual([]);
        expect(findViolations(arrivals).length).toEqual(1);
    });

    // Guards against a soak that takes a runner that crashed and came back for the one that had said that it leaves or rests.
    it("is no request to a runner that has started again since and has told the node nothing yet", () => {
        const leaving = [
            createArrival({ at: 0, isTold: true }),
            createArrival({ at: 5_000, isTold: true, start: 1 }),
        ];
        expect(findViolations(leaving)).toEqual([]);
        const resting = [0, 600, 800, 1_000].map(at =>
            createArrival({ runner: restingRunner, at, isTold: at === 0, start: at === 0 ? 0 : 1 })
        );
        expect(findViolations(resting)).toEqual([]);
    });

    // Guards against a soak that forgives all requests to a runner once it has started again.
    it("is a request that is sent two seconds after the runner that started again has told the node as well", () => {
        const arrivals = [
            createArrival({ at: 0, isTold: true }),
            createArrival({ at: 5_000, isTold: true, start: 1 }),
            createArrival({ at: 7_100, isTold: true, start: 1 }),
        ];
        expect(findViolations(arrivals).length).toEqual(1);
    });
});

interface ArrivalOptions {
    readonly at: number;
    readonly isTold: boolean;
    readonly runner?: string;
    readonly start?: number;
}

function createArrival({ at, isTold, runner = leavingRunner, start = 0 }: ArrivalOptions): StatementArrival {
    return { runner, start, request: `request-${at}`, at, isTold };
}

/** All requests are sent by one node as they arrive. */
function findViolations(arrivals: readonly StatementArrival[], outages: readonly NodeOutage[] = []): readonly string[] {
    const sent = new Map(arrivals.map(({ request, at }) => [request, { node, sentAt: at }]));
    return findStatementViolations(arrivals, sent, outages);
}
