import { expect } from "earl";
import { describe, it } from "node:test";
import { SuspensionClock } from "../../src/common/index.js";

function createClock() {
    const machine = { monotonic: 1_000, wall: 50_000 };
    const clock = new SuspensionClock({ monotonic: () => machine.monotonic, wall: () => machine.wall });
    const pass = (monotonic: number, wall: number): number => {
        machine.monotonic += monotonic;
        machine.wall += wall;
        return clock.monotonic();
    };
    return { pass };
}

describe("SuspensionClock", () => {
    // A machine is suspended for six seconds. Its steady clock stands still, so the configuration seems as young as before;
    // keys that were taken away meanwhile would still be let in.
    it("counts the time of a suspension", () => {
        const { pass } = createClock();
        expect(pass(100, 100)).toEqual(1_100);
        expect(pass(10, 6_010)).toEqual(7_110);
        expect(pass(100, 100)).toEqual(7_210);
    });

    it("never goes back when the wall clock does", () => {
        const { pass } = createClock();
        expect(pass(100, -5_000)).toEqual(1_100);
        expect(pass(100, 100)).toEqual(1_200);
    });

    it("passes over small adjustments of the wall clock", () => {
        const { pass } = createClock();
        expect(pass(1_000, 1_040)).toEqual(2_000);
    });
});
