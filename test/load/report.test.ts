import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type Arrival,
    compareResults,
    createReportPage,
    formatDifferences,
    type LoadRecord,
    LoadRecorder,
    type LoadResult,
    parseLoadResult,
} from "../../src/load/index.js";
import { createEmptyResult, createProfile } from "../fixtures/loadProfiles.js";

const [plan, , print] = createProfile().works;

function createRecord(changes: Partial<LoadRecord> & { readonly at?: number; } = {}): LoadRecord {
    const arrival: Arrival = {
        at: changes.at ?? 0,
        work: plan,
        number: 1,
        history: 0,
        session: undefined,
        turn: 0,
    };
    return {
        arrival,
        end: "answered",
        status: 200,
        outcome: undefined,
        version: "small@1",
        attempts: 1,
        lateMilliseconds: 0,
        firstTokenMilliseconds: 100,
        milliseconds: 400,
        gaps: [10, 20, 30],
        refusals: [],
        ...changes,
    };
}

function createResult(records: readonly LoadRecord[], title = "run"): LoadResult {
    const recorder = new LoadRecorder({
        title,
        startedAt: new Date(0),
        ratePerSecond: 10,
        seconds: 2,
        seed: 1,
        goodFirstTokenMilliseconds: 900,
    });
    for (const record of records) {
        recorder.add(record);
    }
    return recorder.getResult();
}

const mixedResult = createResult([
    createRecord(),
    createRecord({ at: 1500, firstTokenMilliseconds: 901, milliseconds: 1000 }),
    createRecord({ end: "refused", status: 429, outcome: "not-run", version: undefined, refusals: [3], attempts: 2 }),
    createRecord({ end: "failed", status: 0, firstTokenMilliseconds: undefined, gaps: [] }),
    createRecord({
        arrival: { ...createRecord().arrival, work: print },
        firstTokenMilliseconds: undefined,
        version: undefined,
        gaps: [],
    }),
]);

describe("LoadRecorder.getResult", () => {
    it("counts ends, outcomes, statuses, versions and works", () => {
        expect(mixedResult).toEqual(expect.subset({
            requests: 5,
            tries: 6,
            ends: { answered: 3, failed: 1, refused: 1 },
            outcomes: { "none told": 4, "not-run": 1 },
            statuses: { "0": 1, "200": 3, "429": 1 },
            versions: { "small@1": 3 },
            works: { plan: 4, print: 1 },
            workspaces: { commissary: 5 },
        }));
    });

    it("counts only answers that started in time as good", () => {
        expect(mixedResult.goodPerSecond).toEqual(1);
    });

    it("reports the time to first usable output by work", () => {
        const { plan: plans, print: prints } = mixedResult.firstUse;
        expect([plans.count, prints.count]).toEqual([2, 1]);
        expect(Math.abs(plans.p95 - 901) < 0.9).toEqual(true);
        expect(Math.abs(prints.p50 - 400) < 0.4).toEqual(true);
    });

    it("assigns arrivals to the second of their intended time and ends to the second in which they occurred", () => {
        expect(mixedResult.timeLine).toEqual([
            { arrived: 4, good: 2, refused: 1, failed: 1 },
            { arrived: 1, good: 0, refused: 0, failed: 0 },
            { arrived: 0, good: 0, refused: 0, failed: 0 },
        ]);
    });

    it("keeps three significant digits of each time", () => {
        const { firstToken, gap, refusal } = mixedResult.distributions;
        expect(firstToken.count).toEqual(3);
        expect(Math.abs(firstToken.maximum - 901) < 0.9).toEqual(true);
        expect(gap.count).toEqual(9);
        expect(Math.abs(gap.p50 - 20) < 0.02).toEqual(true);
        expect(Math.abs(refusal.p95 - 3) < 0.003).toEqual(true);
    });
});

describe("parseLoadResult", () => {
    it("reads a written result", () => {
        expect(parseLoadResult(JSON.stringify(mixedResult), "a.json")._unsafeUnwrap()).toEqual(mixedResult);
    });

    function testInvalidFile(content: string, message: string): void {
        it(`refuses ${content.slice(0, 30)}`, () => {
            expect(parseLoadResult(content, "a.json")._unsafeUnwrapErr().message).toEqual(expect.includes(message));
        });
    }
    testInvalidFile("no JSON", "It is not JSON.");
    testInvalidFile(JSON.stringify({ ...mixedResult, format: 2 }), "a.json: format:");
    testInvalidFile("{}", "Give a file that rattanlock-load wrote with --json.");
});

describe("createReportPage", () => {
    const page = createReportPage(mixedResult);

    it("draws each series with all its points", () => {
        const drawn = new Map<string, number>();
        for (const [, points, name] of page.matchAll(/points="([^"]*)"><title>([^<]*)</g)) {
            drawn.set(name, points === "" ? 0 : points.split(" ").length);
        }
        expect(Object.fromEntries(drawn)).toEqual({
            "first token": 13,
            "whole answer": 13,
            "refusal": 13,
            "gap between tokens": 13,
            "sent late": 13,
            "arrived": 3,
            "good answers": 3,
            "refused": 3,
            "failed or broken": 3,
        });
    });

    it("draws only finite numbers, even when nothing was measured", () => {
        for (const drawn of [page, createReportPage(createEmptyResult())]) {
            expect(/NaN|Infinity|undefined/.test(drawn)).toEqual(false);
        }
    });

    // The name of a version or workspace comes from a file that may be untrusted. If a name with a script tag were inserted
    // unescaped, the script would run in the browser of the user who opens the report.
    it("escapes every name", () => {
        const work = { ...plan, name: "<script>work</script>" };
        const name = "<script>alert(\"1\")</script>&'";
        const hostilePage = createReportPage({
            ...createResult([
                createRecord({ version: name, outcome: name, arrival: { ...createRecord().arrival, work } }),
            ], name),
            startedAt: name,
        });
        expect(hostilePage).not.toEqual(expect.includes("<script"));
        expect(hostilePage.split("&#60;script&#62;alert(&#34;1&#34;)&#60;/script&#62;&#38;&#39;").length).toEqual(6);
    });

    it("loads nothing from other hosts and has colours for light and dark mode", () => {
        expect(/https?:|src=|href=|url\(|@import/.test(page)).toEqual(false);
        expect(page).toEqual(expect.includes("prefers-color-scheme: dark"));
    });
});

describe("compareResults", () => {
    const other = createResult([createRecord({ version: "small@2" }), createRecord({ version: "small@2" })]);
    const differences = compareResults(mixedResult, other);

    function find(name: string) {
        return differences.find(difference => difference.name === name);
    }

    it("returns the figures of both runs, including those that one run lacks", () => {
        expect(find("requests")).toEqual({ name: "requests", before: 5, after: 2 });
        expect(find("version small@1")).toEqual({ name: "version small@1", before: 3, after: 0 });
        expect(find("version small@2")).toEqual({ name: "version small@2", before: 0, after: 2 });
        expect(find("first token p95, ms")?.before).toEqual(mixedResult.distributions.firstToken.p95);
        expect(find("first token p95, ms")?.after).toEqual(other.distributions.firstToken.p95);
    });

    it("is formatted as a table with signed differences and percentages", () => {
        const table = formatDifferences([
            { name: "requests", before: 5, after: 2 },
            { name: "version small@2", before: 0, after: 2 },
            { name: "goodput", before: 1, after: 1.5 },
        ]);
        expect(table.split("\n")).toEqual([
            "figure           A     B  B - A   change",
            "requests         5     2     -3  -60.0 %",
            "version small@2  0     2      2      new",
            "goodput          1  1.50   0.50  +50.0 %",
        ]);
    });
});
