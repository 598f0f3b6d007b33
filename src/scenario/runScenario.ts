/**
 * Execution of scenarios against a site.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import { createStepFailure, readScenario } from "./readScenario.js";
import type { ScenarioSite } from "./scenarioSite.js";
import { ScenarioState } from "./scenarioState.js";
import type { Step } from "./step.js";
import { verbs } from "./verbs.js";

/**
 * Runs the steps of a scenario in order.
 * @param text - The text of the scenario.
 * @param site - The site that the scenario controls.
 * @param write - Called with the line of each step before the step runs.
 * @returns The number of steps that ran, or the failure of the first step that failed.
 */
export async function runScenario(
    text: string,
    site: ScenarioSite,
    write: (line: string) => void = () => undefined,
): Promise<Result<number, Failure>> {
    const steps = readScenario(text, verbs);
    if (steps.isErr()) {
        return err(steps.error);
    }
    const state = new ScenarioState(site);
    for (const step of steps.value) {
        write(`${step.line}: ${step.text}`);
        const failure = await runStep(state, step);
        if (failure !== undefined) {
            return err(failure);
        }
    }
    await state.waitForReplies();
    return ok(steps.value.length);
}

async function runStep(state: ScenarioState, step: Step): Promise<Failure | undefined> {
    try {
        await verbs.get(step.verb)?.run(state, expandStep(state, step));
        return undefined;
    }
    catch (error) {
        if (error instanceof Failure) {
            return error;
        }
        const message = error instanceof Error ? error.message : String(error);
        return createStepFailure(step, message, "Correct the step, or the earlier step that it depends on.");
    }
}

function expandStep(state: ScenarioState, step: Step): Step {
    const options = new Map<string, string>();
    for (const [key, value] of step.options) {
        options.set(key, state.expand(value));
    }
    return { ...step, words: step.words.map(word => state.expand(word)), options };
}
