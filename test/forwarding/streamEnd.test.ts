import { expect } from "earl";
import { describe, it } from "node:test";
import { EventSplitter, judgeStreamEnd } from "../../src/forwarding/index.js";
import { createAnswer } from "../fixtures/forwarders.js";

const event = "id: 1\ndata: a\n\n";

function judge(body: string, mediaType: string | undefined, hasKnownEnd: boolean, status = 200): string {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(body));
    return judgeStreamEnd(createAnswer([], { mediaType, hasKnownEnd, status })._unsafeUnwrap(), splitter);
}

describe("judgeStreamEnd", () => {
    it("takes only a framed stream for whole", () => {
        expect([judge(event, "text/event-stream", true), judge(event, "text/event-stream", false)]).toEqual([
            "whole",
            "unstated",
        ]);
    });

    // Guards against a framing that is believed although the last event is cut.
    it("takes a stream for broken off that ends inside an event, whatever its framing", () => {
        for (const hasKnownEnd of [true, false]) {
            expect(judge(`${event}id: 2\nda`, "text/event-stream", hasKnownEnd)).toEqual("inside-event");
            expect(judge("id: 1\nda", "text/event-stream", hasKnownEnd)).toEqual("inside-event");
            expect(judge(`${event}id: 2\nda`, undefined, hasKnownEnd)).toEqual("inside-event");
        }
    });

    // Guards against a whole answer that is cut since its body does not end as a stream of events does.
    it("does not look for events in other answers", () => {
        expect(judge("{}", "application/json", true)).toEqual("whole");
        expect(judge("one\n\ntwo", "text/plain", true)).toEqual("whole");
        expect(judge("done", undefined, true)).toEqual("whole");
        expect(judge(`${event}overheated`, "text/event-stream", true, 500)).toEqual("whole");
    });
});
