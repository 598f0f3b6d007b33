import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { measurePauses, PauseWindow } from "../../src/pace/index.js";

/** Adds parts that arrive after the given pauses; `takingMilliseconds` is how long the caller takes each. */
function measure(pauses: readonly number[], getTaking: (index: number) => number = () => 0): readonly number[] {
    const samples: number[] = [];
    const window = new PauseWindow(sample => samples.push(sample));
    let arrivedAt = 0;
    window.add(0, 0);
    for (const [index, pause] of pauses.entries()) {
        const waitedSince = arrivedAt + getTaking(index);
        arrivedAt += pause;
        window.add(waitedSince, Math.max(arrivedAt, waitedSince));
    }
    window.end();
    return samples;
}

describe("PauseWindow", () => {
    it("gives the median of 16 pauses, and of the rest of at least 6", () => {
        expect(measure(Array<number>(16).fill(30))).toEqual([30]);
        expect(measure([...Array<number>(16).fill(30), ...Array<number>(6).fill(50)])).toEqual([30, 50]);
        expect(measure(Array<number>(5).fill(30))).toEqual([]);
    });

    // Guards against a pause of a preempted or stalled stream that makes its runner slow.
    it("is not changed by single long pauses", () => {
        expect(measure([30, 30, 900, 30, 30, 2_000, 30, 30])).toEqual([30]);
    });

    // Guards against runners that count as slow, or as fast, since a caller reads slowly.
    it("takes nothing from an answer after its caller has taken a part slowly", () => {
        expect(measure(Array<number>(40).fill(30), index => index === 20 ? 25 : 0)).toEqual([30]);
        expect(measure(Array<number>(40).fill(30), () => 200)).toEqual([]);
    });

    it("does not count the time to the first part", () => {
        const samples: number[] = [];
        const window = new PauseWindow(sample => samples.push(sample));
        for (let part = 0; part <= 6; part += 1) {
            window.add(0, 5_000 + part * 10);
        }
        window.end();
        expect(samples).toEqual([10]);
    });
});

describe("measurePauses", () => {
    it("passes on all parts and closes the answer when the caller leaves", async () => {
        const clock = new ManualClock();
        const samples: number[] = [];
        let isClosed = false;
        async function* send(): AsyncGenerator<Buffer> {
            try {
                for (let part = 0; part < 100; part += 1) {
                    await Promise.resolve();
                    clock.advance(20);
                    yield Buffer.from(String(part));
                }
            }
            finally {
                isClosed = true;
            }
        }
        let parts = 0;
        for await (const part of measurePauses(send(), () => clock.monotonic(), sample => samples.push(sample))) {
            expect(part.toString()).toEqual(String(parts));
            parts += 1;
            if (parts === 30) {
                break;
            }
        }
        expect(isClosed).toEqual(true);
        expect(samples).toEqual([20, 20]);
    });

    it("passes on the error of a broken answer", async () => {
        async function* send(): AsyncGenerator<Buffer> {
            yield await Promise.resolve(Buffer.from("part"));
            throw new Error("other side closed");
        }
        const read = async (): Promise<void> => {
            for await (const part of measurePauses(send(), () => 0, () => {})) {
                void part;
            }
        };
        await expect(read()).toBeRejectedWith("other side closed");
    });
});
