import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../../src/common/index.js";
import { ExtraShare, type ExtraShareOptions } from "../../../src/decisions/index.js";

const windowMilliseconds = 10_000;

function createShare(options: Partial<ExtraShareOptions> = {}) {
    const clock = new ManualClock(100_000);
    const suspensionClock = new ManualClock(100_000);
    const share = new ExtraShare({
        clock,
        suspensionClock,
        windowMilliseconds,
        getNodeCount: () => 4,
        getListAge: () => 0,
        isListed: () => true,
        ...options,
    });
    const advance = (milliseconds: number): void => {
        clock.advance(milliseconds);
        suspensionClock.advance(milliseconds);
    };
    return { share, advance, suspend: (milliseconds: number) => suspensionClock.advance(milliseconds) };
}

describe("ExtraShare", () => {
    // A process that ended a moment ago at the same machine may have used the whole part.
    it("is nothing in the first window of a process, and an equal part after it", () => {
        const { share, advance } = createShare();
        advance(windowMilliseconds - 1);
        expect(share.get()).toEqual(0);
        advance(1);
        expect(share.get()).toEqual(0.25);
    });

    // The other nodes share among themselves alone until they know of this one.
    it("is nothing until the others can know of the node", () => {
        let isListed = false;
        const { share, advance } = createShare({ isListed: () => isListed });
        advance(windowMilliseconds);
        expect(share.get()).toEqual(0);
        isListed = true;
        expect(share.get()).toEqual(0.25);
    });

    // A node that began after the list was read for the last time waits for a window before it takes its part.
    it("is nothing while the list of nodes is older than a window", () => {
        let age = windowMilliseconds - 1;
        const { share, advance } = createShare({ getListAge: () => age });
        advance(windowMilliseconds);
        expect(share.get()).toEqual(0.25);
        age += 1;
        expect(share.get()).toEqual(0);
    });

    // A clock that jumps empties the window, and with it what was used a moment ago.
    it("is nothing for a window after the machine was suspended or its wall clock was set forward", () => {
        const { share, advance, suspend } = createShare();
        advance(windowMilliseconds);
        suspend(3_600_000);
        expect(share.get()).toEqual(0);
        advance(windowMilliseconds - 1);
        expect(share.get()).toEqual(0);
        advance(1);
        expect(share.get()).toEqual(0.25);
    });
});
