import { expect } from "earl";
import { describe, it } from "node:test";
import { findLost, runSilentFleet } from "./silentFleet.js";

const loadMilliseconds = 14_000;
const maxLines = 20;

describe("runSilentFleet", () => {
    const loads = [
        // Guards against streams that wait behind each other at one runner while others are idle, until their time is over.
        { seed: 1, prefix: "127.72.69", streams: 75, hasPrompts: false },
        // Guards against streams that are broken off although their runners go on after a silence.
        { seed: 2, prefix: "127.72.70", streams: 100, hasPrompts: true },
    ];
    for (const { seed, prefix, streams, hasPrompts } of loads) {
        it(`answers ${streams} streams ${hasPrompts ? "with" : "without"} prompts as runners fall silent`, async () => {
            const result = await runSilentFleet({
                seed,
                prefix,
                milliseconds: loadMilliseconds,
                streams,
                hasPrompts,
            });
            const lost = findLost(result).map(({ id, path, status, reason }) => `${id} ${path} ${status} ${reason}`);
            const lines = lost.length === 0 ? [] : [...lost.slice(0, maxLines), ...result.timeLine];
            expect(lines).toEqual([]);
            expect(result.answers.length > streams).toEqual(true);
        });
    }
});
