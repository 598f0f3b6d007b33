/**
 * The steps `expect` and `wait-until`.
 */
import { waitUntil } from "../testbench/index.js";
import { createStepFailure } from "./readScenario.js";
import type { ScenarioState } from "./scenarioState.js";
import type { Step } from "./step.js";
import { type Subject, subjects } from "./subjects.js";

const withinKey = "within";
const defaultTimeoutMilliseconds = 20_000;

/** Checks a subject once and throws when an option does not match. */
export async function checkSubject(state: ScenarioState, step: Step): Promise<void> {
    const mismatch = await getSubject(step)(state, step.words[1] ?? "", step.options);
    if (mismatch !== undefined) {
        throw createStepFailure(step, mismatch, "Check the events of the processes, or wait with wait-until first.");
    }
}

/** Polls a subject until all options match, and throws when the timeout expires. */
export async function waitForSubject(state: ScenarioState, step: Step): Promise<void> {
    const subject = getSubject(step);
    const options = new Map(step.options);
    options.delete(withinKey);
    let mismatch: string | undefined;
    const check = async (): Promise<boolean> => {
        mismatch = await subject(state, step.words[1] ?? "", options).catch((error: unknown) => String(error));
        return mismatch === undefined;
    };
    const timeoutMilliseconds = Number(step.options.get(withinKey) ?? defaultTimeoutMilliseconds);
    try {
        await waitUntil(check, { description: step.text, timeoutMilliseconds });
    }
    catch {
        const remedy = "Check the events of the processes, or extend the timeout with within=MILLISECONDS.";
        throw createStepFailure(step, `The timeout of ${timeoutMilliseconds} ms expired. ${mismatch ?? ""}`, remedy);
    }
}

function getSubject(step: Step): Subject {
    const subject = subjects.get(step.words[0]);
    if (subject === undefined) {
        const names = [...subjects.keys()].join(", ");
        throw createStepFailure(step, `There is no subject "${step.words[0]}".`, `Use one of ${names}.`);
    }
    return subject;
}
