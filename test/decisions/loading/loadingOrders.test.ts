import { expect } from "earl";
import { describe, it } from "node:test";
import { RandomSource } from "../../../src/common/index.js";
import { decideLoading, type LoadingRequest, type LoadingRunner } from "../../../src/decisions/index.js";

function createRunners(loaded: readonly (readonly string[])[], domains = 2): LoadingRunner[] {
    return loaded.map((versions, index) => ({
        id: `runner-${index}`,
        failureDomain: `domain-${index % domains}`,
        versions,
        loading: [],
        isIdle: true,
        isStalled: false,
    }));
}

function createRequest(changes: Partial<LoadingRequest>): LoadingRequest {
    return {
        runners: [],
        placed: [],
        evictable: new Set(),
        retiring: new Set(),
        versionsPerRunner: 2,
        loadsAtATime: 100,
        minCopies: 2,
        ...changes,
    };
}

function createPlacedVersions(...ids: string[]) {
    return ids.map(id => ({ id, demand: 0 }));
}

/** Obeys the orders of a decision: unloads at once, and loads where the chance says so. */
function applyOrders(request: LoadingRequest, hasLoaded: () => boolean): LoadingRequest {
    const orders = new Map(decideLoading(request).orders.map(order => [order.runner, order]));
    const runners = request.runners.map(runner => {
        const order = orders.get(runner.id);
        if (order === undefined) {
            return runner;
        }
        const stayed = runner.versions.filter(version => order.versions.includes(version));
        const added = order.versions.filter(version => !runner.versions.includes(version));
        return hasLoaded()
            ? { ...runner, versions: [...stayed, ...added], loading: [] }
            : { ...runner, versions: stayed, loading: added };
    });
    return { ...request, runners };
}

function findHolders(request: LoadingRequest, version: string): readonly LoadingRunner[] {
    return request.runners.filter(runner => runner.versions.includes(version));
}

describe("decideLoading", () => {
    // Two versions that serve and a candidate take turns on runners that have room for two, while loads take any time.
    // Unloaded too early, a version that serves is nowhere for minutes and its callers are refused.
    it("never leaves a version without a ready runner, and reaches two failure domains for each", () => {
        const random = new RandomSource(7);
        for (let round = 0; round < 200; round += 1) {
            const names = ["a", "b", "c", "d"].slice(0, 2 + random.nextInteger(3));
            const runners = createRunners(
                Array.from({ length: 4 + random.nextInteger(6) }, () => {
                    const first = names[random.nextInteger(names.length)];
                    const second = names[random.nextInteger(names.length)];
                    return [...new Set([first, second])];
                }),
                2 + random.nextInteger(3),
            );
            const placed = names.map(id => ({ id, demand: random.nextInteger(1000) }));
            let request = createRequest({ runners, placed, loadsAtATime: 1 + random.nextInteger(3) });
            for (let step = 0; step < 200; step += 1) {
                const before = names.filter(name => findHolders(request, name).length > 0);
                const { orders } = decideLoading(request);
                expect(orders.filter(order => order.loadingVersion !== undefined).length <= request.loadsAtATime)
                    .toEqual(true);
                expect(orders.every(order => order.versions.length <= 2)).toEqual(true);
                request = applyOrders(request, () => random.nextInteger(3) === 0);
                expect(before.filter(name => findHolders(request, name).length === 0)).toEqual([]);
            }
            for (const name of names) {
                const domains = new Set(findHolders(request, name).map(runner => runner.failureDomain));
                expect([round, name, domains.size >= 2]).toEqual([round, name, true]);
            }
        }
    });

    // The weight store is slow, and another runner is still loading the version. Given up too soon for the room that it
    // takes, the version is nowhere until that load has ended.
    it("keeps a version on its only ready runner while another one loads it", () => {
        const [loading, ready] = createRunners([[], ["a"]]);
        const runners = [{ ...loading, loading: ["a"] }, ready];
        const request = createRequest({ runners, placed: createPlacedVersions("a", "b"), versionsPerRunner: 1 });
        const loads = decideLoading(request).orders.map(order => [order.runner, order.versions]);
        expect(loads).toEqual([["runner-0", ["a"]]]);
    });

    it("orders nothing where every version is loaded as widely as it is needed", () => {
        const request = createRequest({
            runners: createRunners([["a", "b"], ["a", "b"]]),
            placed: createPlacedVersions("a", "b"),
        });
        expect(decideLoading(request).orders).toEqual([]);
    });

    // A version was withdrawn while an answer of it is under way. Unloaded at once, the answer would break off.
    it("unloads a version that retires on idle runners only, and one that is gone everywhere", () => {
        const [busy, idle] = createRunners([["a", "old"], ["a", "old"]]);
        const runners = [{ ...busy, isIdle: false }, idle];
        const retiring = createRequest({ runners, placed: createPlacedVersions("a"), retiring: new Set(["old"]) });
        expect(decideLoading(retiring).orders.map(order => order.runner)).toEqual(["runner-1"]);
        const removed = createRequest({ runners, placed: createPlacedVersions("a") });
        expect(decideLoading(removed).orders.map(order => order.versions)).toEqual([["a"], ["a"]]);
    });

    // One engine hangs on its load. Counted on for ever, the version would never reach a second failure domain.
    it("passes over a runner that does not load in time", () => {
        const [first, second, third] = createRunners([["a"], [], ["a"]], 3);
        const runners = [first, { ...second, isStalled: true }, third];
        const request = createRequest({ runners, placed: [...createPlacedVersions("a"), { id: "b", demand: 1 }] });
        const loads = decideLoading(request).orders.map(order => [order.runner, order.loadingVersion]);
        expect(loads).toEqual([["runner-0", "b"], ["runner-2", "b"]]);
    });

    it("keeps what is merely kept until its room is needed", () => {
        const runners = createRunners([["a", "spare"], ["a", "spare"]]);
        const kept = new Set(["spare"]);
        expect(decideLoading(createRequest({ runners, placed: createPlacedVersions("a"), evictable: kept })).orders)
            .toEqual([]);
        const { orders } = decideLoading(
            createRequest({ runners, placed: createPlacedVersions("a", "b"), evictable: kept }),
        );
        expect(orders.map(order => order.versions)).toEqual([["a", "b"], ["a", "b"]]);
    });

    it("says which versions there is no room for", () => {
        const request = createRequest({
            runners: createRunners([["a"]]),
            placed: createPlacedVersions("a", "b"),
            versionsPerRunner: 1,
        });
        const { orders, unplaced } = decideLoading(request);
        expect([orders, unplaced]).toEqual([[], ["b"]]);
    });

    it("gives a version with more demand more runners", () => {
        const runners = createRunners(Array.from({ length: 12 }, () => []), 4);
        const placed = [{ id: "a", demand: 900 }, { id: "b", demand: 100 }];
        const { placement } = decideLoading(createRequest({ runners, placed }));
        expect([placement.get("a")?.size, placement.get("b")?.size]).toEqual([12, 3]);
    });
});
