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

/** Applies the orders of a decision: unloads at once, and loads if `hasLoaded` returns true. */
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
    // Guards against unloading a version too early. Several versions compete for runners with two slots each, while loads take any time.
    // A version without a ready runner is unavailable for minutes, and its callers are refused.
    it("never leaves a version without a ready runner, and spreads each over two failure domains", () => {
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

    // Guards against evicting the only ready copy. While the weight store is slow and another runner is still loading the version, the
    // version would be unavailable until that load has ended.
    it("keeps a version on its only ready runner while another one loads it", () => {
        const [loading, ready] = createRunners([[], ["a"]]);
        const runners = [{ ...loading, loading: ["a"] }, ready];
        const request = createRequest({ runners, placed: createPlacedVersions("a", "b"), versionsPerRunner: 1 });
        const loads = decideLoading(request).orders.map(order => [order.runner, order.versions]);
        expect(loads).toEqual([["runner-0", ["a"]]]);
    });

    it("orders nothing when every version has its copies", () => {
        const request = createRequest({
            runners: createRunners([["a", "b"], ["a", "b"]]),
            placed: createPlacedVersions("a", "b"),
        });
        expect(decideLoading(request).orders).toEqual([]);
    });

    // Guards against unloading a withdrawn version while one of its answers is in flight, which would be cut off.
    it("unloads a retiring version on idle runners only, and a removed one everywhere", () => {
        const [busy, idle] = createRunners([["a", "old"], ["a", "old"]]);
        const runners = [{ ...busy, isIdle: false }, idle];
        const retiring = createRequest({ runners, placed: createPlacedVersions("a"), retiring: new Set(["old"]) });
        expect(decideLoading(retiring).orders.map(order => order.runner)).toEqual(["runner-1"]);
        const removed = createRequest({ runners, placed: createPlacedVersions("a") });
        expect(decideLoading(removed).orders.map(order => order.versions)).toEqual([["a"], ["a"]]);
    });

    // Guards against waiting for an engine whose load hangs. If it still counted, the version would never reach a second failure domain.
    it("skips a runner that does not load in time", () => {
        const [first, second, third] = createRunners([["a"], [], ["a"]], 3);
        const runners = [first, { ...second, isStalled: true }, third];
        const request = createRequest({ runners, placed: [...createPlacedVersions("a"), { id: "b", demand: 1 }] });
        const loads = decideLoading(request).orders.map(order => [order.runner, order.loadingVersion]);
        expect(loads).toEqual([["runner-0", "b"], ["runner-2", "b"]]);
    });

    it("keeps evictable versions until their slot is needed", () => {
        const runners = createRunners([["a", "spare"], ["a", "spare"]]);
        const evictableVersions = new Set(["spare"]);
        expect(
            decideLoading(createRequest({ runners, placed: createPlacedVersions("a"), evictable: evictableVersions }))
                .orders,
        )
            .toEqual([]);
        const { orders } = decideLoading(
            createRequest({ runners, placed: createPlacedVersions("a", "b"), evictable: evictableVersions }),
        );
        expect(orders.map(order => order.versions)).toEqual([["a", "b"], ["a", "b"]]);
    });

    it("reports the versions without capacity", () => {
        const request = createRequest({
            runners: createRunners([["a"]]),
            placed: createPlacedVersions("a", "b"),
            versionsPerRunner: 1,
        });
        const { orders, unplaced } = decideLoading(request);
        expect([orders, unplaced]).toEqual([[], ["b"]]);
    });

    it("places a version with more demand on more runners", () => {
        const runners = createRunners(Array.from({ length: 12 }, () => []), 4);
        const placed = [{ id: "a", demand: 900 }, { id: "b", demand: 100 }];
        const { placement } = decideLoading(createRequest({ runners, placed }));
        expect([placement.get("a")?.size, placement.get("b")?.size]).toEqual([12, 3]);
    });
});
