import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../../src/common/index.js";
import { AnswerTimes } from "../../../src/decisions/index.js";

const requestClass = "plans";

describe("AnswerTimes", () => {
    describe("getCascadeWaitMilliseconds", () => {
        it("sums the first answer, its rating and the second answer's first token", () => {
            const { times, addAnswers } = createFixture();
            addAnswers("small", 100, 1500);
            addAnswers("large", 200, 4000);
            for (let count = 0; count < 200; count += 1) {
                times.addRating(50);
            }
            expect(Math.round(times.getCascadeWaitMilliseconds(requestClass, "small", "large") ?? 0)).toEqual(1750);
        });

        // Guards against long waits of callers while a class is new or the entry has just started. If a short wait were
        // assumed without any durations, the caller of a cascade might wait for seconds without a token.
        it("returns undefined before the first answer of a class", () => {
            const { times, addAnswers } = createFixture();
            addAnswers("large", 200, 4000);
            expect(times.getCascadeWaitMilliseconds("tags", "small", "large")).toEqual(undefined);
        });

        it("assumes that a version without durations is as slow as the slowest one of its class", () => {
            const { times, addAnswers } = createFixture();
            addAnswers("medium", 100, 2000);
            addAnswers("large", 200, 4000);
            expect(Math.round(times.getCascadeWaitMilliseconds(requestClass, "small", "large") ?? 0)).toEqual(4200);
        });

        // Guards against a version being excluded permanently after a slow period: no cascade starts with it, so it
        // gets no new durations. If the old ones did not expire, the class would stay with its expensive version long
        // after the cheap one is fast again.
        it("drops a version's durations when there were no new ones for a while", () => {
            const { times, addAnswers, clock } = createFixture();
            addAnswers("small", 3000, 60_000);
            clock.advance(61_000);
            addAnswers("large", 100, 400);
            expect((times.getCascadeWaitMilliseconds(requestClass, "small", "large") ?? Infinity) < 600).toEqual(true);
        });

        // Guards against unbounded memory use. Callers choose class names and may use a new one for each request.
        it("drops the least recently used class when there are too many", () => {
            const { times, addAnswers } = createFixture();
            addAnswers("small", 100, 400);
            for (let index = 0; index < 1024; index += 1) {
                times.add("small", `class-${index}`, { firstToken: 100, total: 400 });
            }
            expect(times.getCascadeWaitMilliseconds(requestClass, "small", "small")).toEqual(undefined);
            expect(times.getCascadeWaitMilliseconds("class-0", "small", "small") !== undefined).toEqual(true);
        });
    });
});

function createFixture() {
    const clock = new ManualClock();
    const times = new AnswerTimes(clock);
    const addAnswers = (version: string, firstToken: number, total: number) => {
        for (let count = 0; count < 200; count += 1) {
            times.add(version, requestClass, { firstToken, total });
        }
    };
    return { clock, times, addAnswers };
}
