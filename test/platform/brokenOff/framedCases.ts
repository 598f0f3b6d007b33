/**
 * Answers in each framing, whole and broken off in each way.
 */
import type { ReadingPace } from "../standins/framedCaller.js";
import {
    type BreakPoint,
    type FramedAnswer,
    type FramedHead,
    type Framing,
    isFramed,
} from "../standins/framedRunner.js";

/** The middle of a stream of twelve events. */
const brokenAfterEvent = 6;
const framings: readonly Framing[] = ["none", "chunks", "length"];
const ends = ["order", "reset"] as const;

/** The sizes of the events for each pace: large enough that some bytes wait unread. */
const eventBytes: Readonly<Record<ReadingPace, number>> = { quick: 10, paused: 60_000, slow: 700_000 };

/** How a stream of twelve events begins, and who has the rest of it. */
export interface AnswerCase {
    readonly name: string;
    readonly pace: ReadingPace;
    readonly eventBytes: number;
    readonly answers: readonly FramedAnswer[];
}

/** Returns the cases for one pace: one answer, or one that is broken off and one that goes on with it. */
export function createCases(pace: ReadingPace): readonly AnswerCase[] {
    const sound = framings.map((framing): FramedAnswer => ({ framing }));
    const broken = createBroken();
    const cases: (readonly FramedAnswer[])[] = [...sound.map(answer => [answer]), ...broken.map(answer => [answer])];
    for (const first of broken) {
        for (const rest of sound) {
            cases.push([first, rest]);
        }
    }
    return cases.map(answers => ({
        name: answers.map(describeAnswer).join(", then "),
        pace,
        eventBytes: eventBytes[pace],
        answers,
    }));
}

function createBroken(): readonly FramedAnswer[] {
    const answers: FramedAnswer[] = [];
    for (const framing of framings) {
        const points: readonly BreakPoint[] = framing === "chunks"
            ? ["between", "inside", "last-chunk"]
            : ["between", "inside"];
        for (const end of ends) {
            for (const at of points) {
                answers.push({ framing, end, closes: true, broken: { afterEvent: brokenAfterEvent, at } });
            }
        }
    }
    return answers;
}

function describeAnswer({ framing, head, broken, end }: FramedAnswer): string {
    const kind = head === undefined ? framing : `${framing} ${head}`;
    return broken === undefined
        ? `${kind}, whole`
        : `${kind}, broken off ${broken.at} after ${broken.afterEvent} by ${end ?? "nothing"}`;
}

/** The dimensions of the table of ends. */
const tableFramings: readonly Framing[] = ["none", "identity", "chunks", "length"];
/** Heads of streams. */
export const streamHeads: readonly FramedHead[] = ["typed", "charset", "untyped", "http-1.0", "created"];
/** Events of the part of each runner, and those of them before its break. */
const partEvents = 3;
const eventsBeforeBreaks = [0, 2] as const;
/** Parts that are broken off before the one that is looked at, by their number. */
const earlierParts: readonly FramedAnswer[] = [
    { framing: "chunks", end: "reset", broken: { afterEvent: partEvents, at: "between" } },
    { framing: "chunks", end: "order", broken: { afterEvent: 2 * partEvents, at: "inside" } },
];
const restFramings: readonly Framing[] = ["chunks", "none"];

/**
 * Returns all ends of answers: each framing and head, whole or broken off at each place by each end of the connection.
 * @param heads - The heads.
 * @param firstEvent - Number of events before the answer.
 */
export function createTable(heads: readonly FramedHead[], firstEvent = 0): readonly FramedAnswer[] {
    const answers: FramedAnswer[] = [];
    for (const head of heads) {
        for (const framing of tableFramings) {
            answers.push({ framing, head });
            answers.push(...createBreaks({ framing, head }, firstEvent));
        }
    }
    return answers;
}

function createBreaks(answer: FramedAnswer, firstEvent: number): readonly FramedAnswer[] {
    const answers: FramedAnswer[] = [];
    for (const events of eventsBeforeBreaks) {
        const afterEvent = firstEvent + events;
        for (const end of ends) {
            answers.push({ ...answer, end, broken: { afterEvent, at: "between" } });
            answers.push({ ...answer, end, broken: { afterEvent, at: "inside" } });
        }
        if (isFramed(answer)) {
            answers.push({ ...answer, broken: { afterEvent, at: "last-chunk" } });
        }
    }
    return answers;
}

/**
 * Returns streams of which one part ends in each way.
 * @param part - Number of the part, counted from 1; those before it are framed and broken off.
 * @param pace - How the caller reads.
 * @param heads - The heads of that part.
 * @param hasRest - Whether a further runner has the rest.
 */
export function createPartCases(
    part: 1 | 2 | 3,
    { pace, heads, hasRest }: {
        readonly pace: ReadingPace;
        readonly heads: readonly FramedHead[];
        readonly hasRest: boolean;
    },
): readonly AnswerCase[] {
    const cases: AnswerCase[] = [];
    const earlier = earlierParts.slice(0, part - 1);
    for (const answer of createTable(heads, partEvents * (part - 1))) {
        for (const framing of hasRest ? restFramings : [undefined]) {
            const rest: readonly FramedAnswer[] = framing === undefined ? [] : [{ framing, head: "untyped" }];
            const answers = [...earlier, answer, ...answer.broken === undefined ? [] : rest];
            const name = answers.map(describeAnswer).join(", then ");
            cases.push({ name, pace, eventBytes: eventBytes[pace], answers });
        }
    }
    return cases;
}
