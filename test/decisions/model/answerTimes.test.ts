import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../../src/common/index.js";
import { AnswerTimes } from "../../../src/decisions/index.js";

const requestClass = "plans";

describe("AnswerTimes", () => {
    describe("getHoldMilliseconds", () => {
        it("adds the first answer, its rating and the second first token", () => {
            const { times, learn } = createFixture();
            learn("small", 100, 1500);
            learn("large", 200, 4000);
            for (let count = 0; count < 200; count += 1) {
                times.addRating(50);
            }
            expect(Math.round(times.getCascadeWaitMilliseconds(requestClass, "small", "large") ?? 0)).toEqual(1750);
        });

        // An entry has just started, or a class is new: a cascade that is tried blindly may keep its caller for seconds.
        it("knows nothing before the first answer of a class", () => {
            const { times, learn } = createFixture();
            learn("large", 200, 4000);
            expect(times.getCascadeWaitMilliseconds("tags", "small", "large")).toEqual(undefined);
        });

        it("takes a version without times to be as slow as the slowest of its class", () => {
            const { times, learn } = createFixture();
            learn("medium", 100, 2000);
            learn("large", 200, 4000);
            expect(Math.round(times.getCascadeWaitMilliseconds(requestClass, "small", "large") ?? 0)).toEqual(4200);
        });

        // A version was slow for a while, so no cascade begins with it and nothing new is heard of its times. Kept for good,
        // they would leave the class with its dear version long after the cheap one is quick again.
        it("forgets a version's times when none have come for a while", () => {
            const { times, learn, clock } = createFixture();
            learn("small", 3000, 60_000);
            clock.advance(61_000);
            learn("large", 100, 400);
            expect((times.getCascadeWaitMilliseconds(requestClass, "small", "large") ?? Infinity) < 600).toEqual(true);
        });

        // Callers name classes. One that makes up a name for each request must not fill the entry's memory.
        it("forgets the class used longest ago when callers name too many", () => {
            const { times, learn } = createFixture();
            learn("small", 100, 400);
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
    const learn = (version: string, firstToken: number, total: number) => {
        for (let count = 0; count < 200; count += 1) {
            times.add(version, requestClass, { firstToken, total });
        }
    };
    return { clock, times, learn };
}
