import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock, PresenceCheck, ReadProgress } from "../../src/common/index.js";

/** The event loop runs them between two functions that were scheduled for one turn. */
async function runMicrotasks(): Promise<void> {
    for (let count = 0; count < 20; count += 1) {
        await Promise.resolve();
    }
}

function createProgress() {
    const clock = new ManualClock();
    let scheduled: (() => void)[] = [];
    const progress = new ReadProgress({ clock, schedule: run => scheduled.push(run) });
    const runTurn = async (): Promise<void> => {
        const current = scheduled;
        scheduled = [];
        for (const run of current) {
            run();
            await runMicrotasks();
        }
    };
    const catchUp = async (): Promise<void> => {
        void progress.catchUp();
        await runTurn();
        await runTurn();
        await runTurn();
    };
    return { clock, progress, runTurn, catchUp };
}

describe("PresenceCheck", () => {
    it("waits for nothing while the process reads its connections", async () => {
        const { clock, progress, catchUp } = createProgress();
        await catchUp();
        clock.advance(150);
        expect(new PresenceCheck(progress).confirm()).toEqual(undefined);
    });

    it("waits for a turn when the process has not read for long, and then again only after a while", async () => {
        const { clock, progress, runTurn, catchUp } = createProgress();
        await catchUp();
        clock.advance(1_000);
        const check = new PresenceCheck(progress);
        let isConfirmed = false;
        void check.confirm()?.then(() => isConfirmed = true);
        await runTurn();
        expect(isConfirmed).toEqual(false);
        await runTurn();
        expect(isConfirmed).toEqual(true);
        expect(check.confirm()).toEqual(undefined);
        clock.advance(1_000);
        expect(check.confirm() instanceof Promise).toEqual(true);
    });

    // Many requests wait for the same turn, and each takes time. Guards against the last ones, whose callers leave meanwhile.
    it("lets requests that come late in a turn wait for the next one, and leaves none behind", async () => {
        const { clock, progress, runTurn } = createProgress();
        const begun: number[] = [];
        const turnOf: number[] = [];
        let turn = 0;
        for (let index = 0; index < 10; index += 1) {
            void new PresenceCheck(progress).confirm()?.then(() => {
                begun.push(index);
                turnOf.push(turn);
                clock.advance(90);
            });
        }
        while (begun.length < 10 && turn < 20) {
            turn += 1;
            await runTurn();
        }
        expect(begun).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
        expect(turnOf.filter(first => first === turnOf[0]).length).toEqual(3);
        expect(turn <= 8).toEqual(true);
    });
});
