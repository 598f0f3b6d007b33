import { expect } from "earl";
import { describe, it } from "node:test";
import { SuspensionClock } from "../../src/common/index.js";

function createClock() {
    const machine = { monotonic: 1_000, wall: 50_000 };
    const clock = new SuspensionClock({ monotonic: () => machine.monotonic, wall: () => machine.wall });
    const advance = (monotonic: number, wall: number): number => {
        machine.monotonic += monotonic;
        machine.wall += wall;
        return clock.monotonic();
    };
    return { advance };
}

describe("SuspensionClock", () => {
    // A machine is suspended for six seconds, and its monotonic clock stands still. The configuration would then seem
    // as recent as before, and keys that were revoked in the meantime would still be accepted.
    it("counts the time of a suspension", () => {
        const { advance } = createClock();
        expect(advance(100, 100)).toEqual(1_100);
        expect(advance(10, 6_010)).toEqual(7_110);
        expect(advance(100, 100)).toEqual(7_210);
    });

    it("never goes back when the wall clock does", () => {
        const { advance } = createClock();
        expect(advance(100, -5_000)).toEqual(1_100);
        expect(advance(100, 100)).toEqual(1_200);
    });

    it("ignores small adjustments of the wall clock", () => {
        const { advance } = createClock();
        expect(advance(1_000, 1_040)).toEqual(2_000);
    });
});
