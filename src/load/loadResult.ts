/**
 * The result of a run, which is written to a JSON file and read back for comparisons.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";

/** Format version of the file. Other versions are rejected, since figures with different meanings cannot be compared. */
export const loadResultFormat = 1;

const counts = z.record(z.string(), z.number());

const distribution = z.object({
    count: z.number(),
    mean: z.number(),
    p50: z.number(),
    p90: z.number(),
    p95: z.number(),
    p99: z.number(),
    maximum: z.number(),
    /** Points of the percentile curve: percentile and value in milliseconds. */
    curve: z.array(z.tuple([z.number(), z.number()])),
});

const second = z.object({
    arrived: z.number(),
    good: z.number(),
    refused: z.number(),
    failed: z.number(),
});

const schema = z.object({
    format: z.literal(loadResultFormat),
    title: z.string(),
    startedAt: z.string(),
    ratePerSecond: z.number(),
    seconds: z.number(),
    seed: z.number(),
    requests: z.number(),
    tries: z.number(),
    goodPerSecond: z.number(),
    /** In milliseconds. */
    distributions: z.object({
        firstToken: distribution,
        gap: distribution,
        answer: distribution,
        refusal: distribution,
        late: distribution,
    }),
    /** By work, milliseconds to the first usable output: the first token of a streamed answer, or else the whole answer. */
    firstUse: z.record(z.string(), distribution),
    ends: counts,
    outcomes: counts,
    statuses: counts,
    versions: counts,
    workspaces: counts,
    works: counts,
    /** Counts by second from the start: arrivals by their intended time, the others by the time at which they ended. */
    timeLine: z.array(second),
});

/** Summary of a histogram, in milliseconds. */
export type Distribution = Readonly<z.infer<typeof distribution>>;

/** Counts of one second. */
export type LoadSecond = Readonly<z.infer<typeof second>>;

/** The result of a run. */
export type LoadResult = Readonly<z.infer<typeof schema>>;

/** Titles of the histograms in reports. */
export const distributionTitles: Readonly<Record<keyof LoadResult["distributions"], string>> = {
    firstToken: "first token",
    gap: "gap between tokens",
    answer: "whole answer",
    refusal: "refusal",
    late: "sent late",
};

/** Titles of the counts in reports. */
export const countTitles = {
    ends: "end",
    outcomes: "outcome",
    statuses: "status",
    versions: "version",
    workspaces: "workspace",
    works: "work",
} as const satisfies Partial<Record<keyof LoadResult, string>>;

/**
 * Parses the result of a run.
 * @param content - The text of the file.
 * @param file - The name of the file, for error messages.
 */
export function parseLoadResult(content: string, file: string): Result<LoadResult, Failure> {
    const fail = (message: string): Result<LoadResult, Failure> =>
        err(
            new Failure({
                kind: "invalid-input",
                message: `${file}: ${message}`,
                remedy: "Give a file that rattanlock-load wrote with --json.",
            }),
        );
    let document: unknown;
    try {
        document = JSON.parse(content);
    }
    catch {
        return fail("It is not JSON.");
    }
    const parsed = schema.safeParse(document);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        return fail(`${issue.path.join(".") || "The document"}: ${issue.message}.`);
    }
    return ok(parsed.data);
}
