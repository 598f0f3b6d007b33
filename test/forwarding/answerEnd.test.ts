import { expect } from "earl";
import { describe, it } from "node:test";
import { type AnswerEnd, EventSplitter, getAnswerForm, judgeAnswerEnd } from "../../src/forwarding/index.js";
import type { RouteKind } from "../../src/routing/index.js";

const event = "id: 1\ndata: a\n\n";
const eventStream = "text/event-stream";

interface JudgedAnswer {
    readonly mediaType?: string;
    readonly hasKnownEnd?: boolean;
    readonly status?: number;
    readonly kind?: RouteKind;
}

function judge(
    body: string,
    { mediaType, hasKnownEnd = true, status = 200, kind = "stream" }: JudgedAnswer,
): AnswerEnd {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(body));
    return judgeAnswerEnd({ hasKnownEnd }, getAnswerForm({ kind }, { status, mediaType }), splitter);
}

describe("judgeAnswerEnd", () => {
    it("takes only a framed stream for whole", () => {
        expect([
            judge(event, { mediaType: eventStream }),
            judge(event, { mediaType: eventStream, hasKnownEnd: false }),
        ]).toEqual(["whole", "unstated"]);
        expect([judge("", {}), judge("", { hasKnownEnd: false })]).toEqual(["whole", "unstated"]);
    });

    // Guards against a framing that is believed although the last event is cut.
    it("takes a stream for broken off that ends inside an event, whatever its framing", () => {
        for (const hasKnownEnd of [true, false]) {
            for (const body of [`${event}id: 2\nda`, "id: 1\nda", "id: 1\ndata: a\n", "i"]) {
                for (const mediaType of [eventStream, undefined]) {
                    expect(judge(body, { mediaType, hasKnownEnd })).toEqual("inside-event");
                    expect(judge(body, { mediaType, hasKnownEnd, status: 201 })).toEqual("inside-event");
                }
                expect(judge(body, { mediaType: eventStream, hasKnownEnd, kind: "idempotent" })).toEqual(
                    "inside-event",
                );
            }
        }
    });

    // Guards against a whole answer that is cut since its body does not end as a stream of events does.
    it("does not look for events in other answers", () => {
        expect(judge("{}", { mediaType: "application/json" })).toEqual("whole");
        expect(judge("one\n\ntwo", { mediaType: "text/plain" })).toEqual("whole");
        expect(judge("done", { kind: "idempotent" })).toEqual("whole");
        expect(judge("done", { kind: "at-most-once", hasKnownEnd: false })).toEqual("unstated");
        expect(judge(`${event}overheated`, { mediaType: eventStream, status: 500 })).toEqual("whole");
    });

    it("takes comments and blank lines after the last event for no other event", () => {
        expect(judge(`${event}: still here\n\n\n`, {})).toEqual("whole");
    });
});
