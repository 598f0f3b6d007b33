/**
 * Runs the load of silent runners by hand: `node dist/test/platform/silences/main.js --seed 1 --seconds 60 --streams 60`. With
 * `--prompts` streams have prompts; `--lines N` prints what the nodes wrote of the first N requests that were lost.
 */
import { parseArgs } from "node:util";
import { findLost, runSilentFleet } from "./silentFleet.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seconds: { type: "string", default: "60" },
        streams: { type: "string", default: "60" },
        prefix: { type: "string", default: "127.72.110" },
        prompts: { type: "boolean", default: false },
        lines: { type: "string", default: "0" },
    },
});
const result = await runSilentFleet({
    seed: Number(values.seed),
    prefix: values.prefix,
    milliseconds: Number(values.seconds) * 1_000,
    streams: Number(values.streams),
    hasPrompts: values.prompts,
});
const lost = findLost(result);
const refused = result.answers.filter(({ status, isWhole }) => isWhole && status !== 200).length;
const givenUp = result.events.filter(({ name, reason }) =>
    name === "attempt-ended" && /^(no data for|no answer in time)/.test(String(reason))
);
console.log(
    `${lost.length} lost and ${refused} refused of ${result.answers.length}; ${givenUp.length} attempts given up in silence`,
);
const ends = new Map<string, number>();
for (const { end, isReplaced } of result.events.filter(({ name }) => name === "silence-ended")) {
    const text = `${String(end)}${isReplaced === true ? " after the other one had begun" : ""}`;
    ends.set(text, (ends.get(text) ?? 0) + 1);
}
console.log(`silences: ${[...ends].map(([end, count]) => `${count} ${end}`).join(", ")}`);
for (const { id, path, status, body, reason, sentAt, endedAt } of lost.slice(0, Number(values.lines))) {
    const milliseconds = Math.round(endedAt - sentAt);
    console.log(
        `${id} ${path} status ${status}, ${body.split("\n\n").length - 1} events, ${milliseconds} ms: ${reason}`,
    );
    for (const event of result.events.filter(({ request }) => request === id)) {
        console.log(`    ${JSON.stringify(event)}`);
    }
}
console.log(result.timeLine.join("\n"));
process.exit(lost.length === 0 ? 0 : 1);
