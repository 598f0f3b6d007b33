/**
 * The result of a run, as it is written to a JSON file and read back for a comparison.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";

/** Format of the file; a reader refuses others, since figures of unlike meaning cannot be compared. */
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
    /** Points of the percentile curve: percentile and milliseconds. */
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
    /** By work, how long until a caller had something to use: a streamed answer's first token, or a whole answer. */
    firstUse: z.record(z.string(), distribution),
    ends: counts,
    outcomes: counts,
    statuses: counts,
    versions: counts,
    workspaces: counts,
    works: counts,
    /** By second from the start; arrivals by intended time, the rest by the time at which it ended. */
    timeLine: z.array(second),
});

/** A histogram's figures, in milliseconds. */
export type Distribution = Readonly<z.infer<typeof distribution>>;

/** What happened in one second. */
export type LoadSecond = Readonly<z.infer<typeof second>>;

/** The result of a run. */
export type LoadResult = Readonly<z.infer<typeof schema>>;

/** Names of the histograms as reports show them. */
export const distributionTitles: Readonly<Record<keyof LoadResult["distributions"], string>> = {
    firstToken: "first token",
    gap: "gap between tokens",
    answer: "whole answer",
    refusal: "refusal",
    late: "sent late",
};

/** Names of the counts as reports show them. */
export const countTitles = {
    ends: "end",
    outcomes: "outcome",
    statuses: "status",
    versions: "version",
    workspaces: "workspace",
    works: "work",
} as const satisfies Partial<Record<keyof LoadResult, string>>;

/**
 * Reads the result of a run.
 * @param content - The text of the file.
 * @param file - The file's name, for messages.
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
