import { expect } from "earl";
import { describe, it } from "node:test";
import { readScenario, verbs } from "../../src/scenario/index.js";

describe("readScenario", () => {
    it("splits lines into words and options and skips comments", () => {
        const steps = readScenario("# nothing\n\n  send r to=entry-1 content=a=b  # the first\n", verbs)
            ._unsafeUnwrap();
        expect(steps.map(step => [step.line, step.verb, step.words, [...step.options]])).toEqual([
            [3, "send", ["r"], [["to", "entry-1"], ["content", "a=b"]]],
        ]);
    });

    const invalidLines = [
        {
            line: "sent r to=entry-1",
            expectedMessage: "There is no verb \"sent\". Start the line with one of set, start, send",
        },
        { line: "send r", expectedMessage: "The option \"to\" is missing. Write: send NAME to=PROCESS" },
        { line: "send r to=a colour=red", expectedMessage: "The option \"colour\" is unknown here. Write: send" },
        {
            line: "set version",
            expectedMessage: "1 words after the verb are too few or too many. Write: set NAME VALUE",
        },
        { line: "kill a b", expectedMessage: "Write: kill NAME" },
    ];
    for (const { line, expectedMessage } of invalidLines) {
        it(`names the remedy for "${line}"`, () => {
            const { message } = readScenario(`set a b\n${line}`, verbs)._unsafeUnwrapErr();
            expect(message).toInclude(`Line 2, "${line}": `);
            expect(message).toInclude(expectedMessage);
        });
    }
});
