/**
 * Runs trials of runners that end under a part of prompts, or for no request's fault, and prints their results:
 * `node dist/test/platform/crashes/main.js --end before-head --down refusing`. `--options '{"trouble":"killed-in-turn"}'` sets further
 * fields of `CrashTrialOptions`; `--lines` prints what the nodes wrote of crashes and quarantines.
 */
import { parseArgs } from "node:util";
import { CrashTrial, type CrashTrialOptions } from "./crashTrial.js";
import type { DownState, EndMoment } from "./endingRunner.js";

const shownLines = new Set([424, 425, 426, 428, 476, 477]);

const { values } = parseArgs({
    options: {
        end: { type: "string", default: "after-event" },
        down: { type: "string", default: "refusing" },
        seconds: { type: "string", default: "20" },
        prefix: { type: "string", default: "127.75.1" },
        options: { type: "string", default: "{}" },
        lines: { type: "boolean", default: false },
    },
});
const result = await new CrashTrial({
    prefix: values.prefix,
    end: values.end as EndMoment,
    down: values.down as DownState,
    milliseconds: Number(values.seconds) * 1_000,
    ...JSON.parse(values.options) as Partial<CrashTrialOptions>,
}).run();
const { ended, late, whole, sound, quarantinedSound, lines } = result;
console.log(
    `${values.end}, ${values.down}, ${values.options}: ${ended} runners ended, ${late} late, ${whole} of ${sound.length} sound ones whole, `
        + `${quarantinedSound} refused as quarantined; ${
            lines.filter(({ event }) => event === 424).length
        } lines of crashes`,
);
const unproven = new Map<string, number>();
for (const { event, found, hasHead } of lines) {
    const key = `${String(found)} ${hasHead === true ? "begun" : "not begun"}`;
    if (event === 476) {
        unproven.set(key, (unproven.get(key) ?? 0) + 1);
    }
}
console.log(`ends not proven: ${[...unproven].map(([key, count]) => `${count} ${key}`).join(", ")}`);
for (const line of values.lines ? lines : []) {
    if (shownLines.has(Number(line.event))) {
        console.log(JSON.stringify(line));
    }
}
