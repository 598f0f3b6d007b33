import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { HeadWatch, type MeasuredHead } from "../../src/forwarding/index.js";

function createWatch(timeoutMilliseconds: number | undefined) {
    const clock = new ManualClock(1_000);
    const heads: MeasuredHead[] = [];
    const secondTries: number[] = [];
    const watch = new HeadWatch({
        clock,
        getTimeout: () => timeoutMilliseconds,
        onHead: head => heads.push(head),
        onSecondTry: afterMilliseconds => secondTries.push(afterMilliseconds),
    });
    return { clock, heads, secondTries, watch };
}

describe("HeadWatch", () => {
    it("measures the time to the head of an answer, but not of a failure of the upstream", () => {
        const { clock, heads, watch } = createWatch(200);
        const head = watch.start(50, "small");
        expect(head.timeoutMilliseconds).toEqual(200);
        clock.advance(70);
        head.markHead(200);
        watch.start(50).markHead(500);
        expect(heads).toEqual([{ milliseconds: 70, expectedMilliseconds: 50, model: "small" }]);
    });

    it("reports a second try after an attempt that was given up, and not after one that failed", () => {
        const { clock, secondTries, watch } = createWatch(200);
        const failed = watch.start(50);
        clock.advance(10);
        failed.markFailed();
        const givenUp = watch.start(50);
        expect(secondTries).toEqual([]);
        clock.advance(200);
        givenUp.markFailed();
        expect(secondTries).toEqual([]);
        watch.start(50);
        expect(secondTries).toEqual([200]);
    });

    it("reports a second try beside an attempt that is overdue, and measures the head of that one all the same", () => {
        const { clock, heads, secondTries, watch } = createWatch(200);
        const overdue = watch.start(50);
        clock.advance(200);
        const second = watch.start(50);
        expect(secondTries).toEqual([200]);
        clock.advance(100);
        overdue.markHead(200);
        second.markFailed();
        expect(heads.map(({ milliseconds }) => milliseconds)).toEqual([300]);
    });

    it("takes an attempt that was answered as not given up when the next one is not made", () => {
        const { clock, secondTries, watch } = createWatch(200);
        const head = watch.start(50);
        head.markHead(200);
        clock.advance(300);
        head.markFailed();
        watch.start(50);
        expect(secondTries).toEqual([]);
    });

    it("takes no attempt without a timeout as given up", () => {
        const { clock, secondTries, watch } = createWatch(undefined);
        const head = watch.start(50);
        clock.advance(10_000);
        head.markFailed();
        watch.start(50);
        expect(secondTries).toEqual([]);
    });
});
