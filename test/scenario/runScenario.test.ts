import { expect } from "earl";
import { readFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import { runScenario, StandinSite } from "../../src/scenario/index.js";
import { AddressBlock, ProcessGroup, withProcesses } from "../../src/testbench/index.js";

describe("runScenario", () => {
    it("runs every verb against stand-ins", async () => {
        const text = readFileSync(new URL("../../../test/scenarios/standins.scenario", import.meta.url), "utf8");
        await withProcesses(async group => {
            const result = await runScenario(text, new StandinSite(group, new AddressBlock("127.10.7")));
            expect(result.match<string | number>(count => count, failure => failure.message)).toEqual(41);
        });
    });
});

describe("expect", () => {
    const group = new ProcessGroup();
    const site = new StandinSite(group, new AddressBlock("127.10.8"));
    before(() => site.start("engine", "runner", { versions: "plan@1", stepMilliseconds: "2" }));
    after(() => group.killAll());

    // A step whose check is missing in the implementation would pass silently, and a scenario would then succeed although
    // the site failed. Each of these steps must fail.
    const failingSteps = [
        { step: "expect reply r status=503", expectedMessage: "status is 200, not 503" },
        { step: "expect reply r version=plan@2", expectedMessage: "version is plan@1, not plan@2" },
        { step: "expect reply other status=200", expectedMessage: "No request \"other\" was sent" },
        { step: "expect journal runner count=99 id=r", expectedMessage: "records match, not 99" },
        { step: "expect journal runner at-most=0 id=r", expectedMessage: "records match, not 0 to 0" },
        { step: "expect exit runner", expectedMessage: "runner is still running" },
        { step: "expect event runner name=process-stopped", expectedMessage: "records match" },
        { step: "expect status runner leaving=true", expectedMessage: "leaving of runner is false, not true" },
        { step: "wait-until status runner leaving=true within=50", expectedMessage: "The timeout of 50 ms expired" },
        { step: "freeze nobody", expectedMessage: "There is no process \"nobody\"" },
        { step: "start runner", expectedMessage: "runner is still running. Stop or kill it first" },
    ];
    for (const { step, expectedMessage } of failingSteps) {
        it(`fails at "${step}"`, async () => {
            const text = `send r to=runner model=plan@1\nwait-until reply r status=200\n${step}\n`;
            const { message } = (await runScenario(text, site))._unsafeUnwrapErr();
            expect(message.startsWith(`Line 3, "${step}": `)).toEqual(true);
            expect(message).toInclude(expectedMessage);
        });
    }

    // The connection fails in the middle of an answer. If the partial answer were taken for a complete one, a scenario would
    // pass although a user would see a truncated answer.
    it("distinguishes a partial answer from a complete one", async () => {
        const text = "cut runner after=900\nsend r to=runner model=plan@1 stream=yes\nexpect reply r answer=whole\n";
        const { message } = (await runScenario(text, site))._unsafeUnwrapErr();
        await runScenario("restore caller>runner", site);
        expect(message).toInclude("answer is part, not whole");
    });
});
