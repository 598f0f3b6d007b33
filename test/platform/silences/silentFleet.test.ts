import { expect } from "earl";
import { describe, it } from "node:test";
import {
    cascadeLoad,
    describeAnswers,
    findLost,
    findRefusedStreams,
    runSilentFleet,
    type SilentFleetOptions,
} from "./silentFleet.js";

const loadMilliseconds = 14_000;
/** Time in which some, all and some runners are silent. */
const cascadeMilliseconds = 9_000;
/** Time of one silence, after which one runner does not go on. */
const endlessMilliseconds = 3_000;
const maxCascadeSilenceMilliseconds = 1_700;
const maxLines = 60;

describe("runSilentFleet", () => {
    const loads: readonly (SilentFleetOptions & { readonly title: string; })[] = [
        // Guards against streams that wait behind each other at one runner while others are idle, until their time is over.
        {
            title: "75 streams without prompts",
            seed: 1,
            prefix: "127.72.69",
            milliseconds: loadMilliseconds,
            streams: 75,
            hasPrompts: false,
        },
        // Guards against streams that are broken off although their runners go on after a silence.
        {
            title: "100 streams with prompts",
            seed: 2,
            prefix: "127.72.70",
            milliseconds: loadMilliseconds,
            streams: 100,
            hasPrompts: true,
        },
        // Guards against streams of larger models that are broken off in a second silence, after which no attempt is left.
        {
            title: "100 streams of a cascade of models",
            seed: 1,
            prefix: "127.72.115",
            milliseconds: cascadeMilliseconds,
            streams: 100,
            hasPrompts: true,
            load: { ...cascadeLoad, maxSilenceMilliseconds: maxCascadeSilenceMilliseconds },
        },
    ];
    for (const { title, ...options } of loads) {
        it(`answers ${title} as runners fall silent`, async () => {
            const result = await runSilentFleet(options);
            const lost = describeAnswers(result, findLost(result));
            const lines = lost.length === 0 ? [] : [...lost.slice(0, maxLines), ...result.timeLine];
            expect(lines).toEqual([]);
            expect(result.answers.length > options.streams).toEqual(true);
        });
    }

    // Guards against second tries at a runner that is silent itself, where they wait until their time is over.
    it("answers all streams at the other runners while one is silent for good", async () => {
        const result = await runSilentFleet({
            seed: 1,
            prefix: "127.72.116",
            milliseconds: endlessMilliseconds,
            streams: 110,
            hasPrompts: false,
            load: { endlesslySilent: 1 },
        });
        const unserved = [...findLost(result), ...findRefusedStreams(result)];
        expect(describeAnswers(result, unserved)).toEqual([]);
        expect(result.answers.length > 110).toEqual(true);
    });
});
