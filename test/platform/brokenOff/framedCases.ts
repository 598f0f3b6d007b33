/**
 * Answers in each framing, whole and broken off in each way.
 */
import type { ReadingPace } from "../standins/framedCaller.js";
import type { BreakPoint, FramedAnswer, Framing } from "../standins/framedRunner.js";

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

function describeAnswer({ framing, broken, end }: FramedAnswer): string {
    return broken === undefined ? `${framing}, whole` : `${framing}, broken off ${broken.at} by ${end}`;
}
