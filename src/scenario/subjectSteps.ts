/**
 * The steps `expect` and `wait-until`.
 */
import { waitUntil } from "../testbench/index.js";
import { createStepFailure } from "./readScenario.js";
import type { ScenarioState } from "./scenarioState.js";
import type { Step } from "./step.js";
import { type Subject, subjects } from "./subjects.js";

const withinKey = "within";
const defaultBoundMilliseconds = 20_000;

/** Looks once and throws when an option does not hold. */
export async function checkSubject(state: ScenarioState, step: Step): Promise<void> {
    const wrong = await getSubject(step)(state, step.words[1] ?? "", step.options);
    if (wrong !== undefined) {
        throw createStepFailure(step, wrong, "Look at the processes' events, or wait with wait-until first.");
    }
}

/** Looks again and again until all options hold, and throws when the bound is over. */
export async function waitForSubject(state: ScenarioState, step: Step): Promise<void> {
    const subject = getSubject(step);
    const options = new Map(step.options);
    options.delete(withinKey);
    let wrong: string | undefined;
    const look = async (): Promise<boolean> => {
        wrong = await subject(state, step.words[1] ?? "", options).catch((error: unknown) => String(error));
        return wrong === undefined;
    };
    const boundMilliseconds = Number(step.options.get(withinKey) ?? defaultBoundMilliseconds);
    try {
        await waitUntil(look, { what: step.text, boundMilliseconds });
    }
    catch {
        const remedy = "Look at the processes' events, or allow more with within=MILLISECONDS.";
        throw createStepFailure(step, `${boundMilliseconds} ms were over. ${wrong ?? ""}`, remedy);
    }
}

function getSubject(step: Step): Subject {
    const subject = subjects.get(step.words[0]);
    if (subject === undefined) {
        const names = [...subjects.keys()].join(", ");
        throw createStepFailure(step, `There is no subject "${step.words[0]}".`, `Take one of ${names}.`);
    }
    return subject;
}
