/**
 * Parser of scenarios: one step per line, words separated by white space, `key=value` options, and comments that start
 * with `#`.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import type { Step, StepSyntax } from "./step.js";

const commentPattern = /(^|\s)#.*$/;
const optionPattern = /^([A-Za-z][\w.@-]*)=(.*)$/;

/**
 * Parses a scenario and checks the syntax of every line.
 * @param text - The text of the scenario.
 * @param syntaxes - The syntax of each verb.
 * @returns The steps, or a failure that names the first invalid line.
 */
export function readScenario(
    text: string,
    syntaxes: ReadonlyMap<string, StepSyntax>,
): Result<readonly Step[], Failure> {
    const steps: Step[] = [];
    for (const [index, line] of text.split("\n").entries()) {
        const step = readStep(line.replace(commentPattern, "").trim(), index + 1);
        if (step === undefined) {
            continue;
        }
        const failure = findSyntaxError(step, syntaxes);
        if (failure !== undefined) {
            return err(failure);
        }
        steps.push(step);
    }
    return ok(steps);
}

/**
 * Creates the failure of a step.
 * @param step - The step.
 * @param message - The error, as a full sentence.
 * @param remedy - The remedy, as a full sentence.
 */
export function createStepFailure(step: Step, message: string, remedy: string): Failure {
    return new Failure({
        kind: "invalid-input",
        message: `Line ${step.line}, "${step.text}": ${message}`,
        remedy,
    });
}

function readStep(text: string, line: number): Step | undefined {
    if (text === "") {
        return undefined;
    }
    const [verb, ...parts] = text.split(/\s+/);
    const words: string[] = [];
    const options = new Map<string, string>();
    for (const part of parts) {
        const match = optionPattern.exec(part);
        if (match) {
            options.set(match[1], match[2]);
            continue;
        }
        words.push(part);
    }
    return { line, text, verb, words, options };
}

function findSyntaxError(step: Step, syntaxes: ReadonlyMap<string, StepSyntax>): Failure | undefined {
    const syntax = syntaxes.get(step.verb);
    if (syntax === undefined) {
        const verbs = [...syntaxes.keys()].join(", ");
        return createStepFailure(step, `There is no verb "${step.verb}".`, `Start the line with one of ${verbs}.`);
    }
    const remedy = `Write: ${syntax.usage}`;
    const count = step.words.length;
    if (count < syntax.minWords || count > syntax.maxWords) {
        return createStepFailure(step, `${count} words after the verb are too few or too many.`, remedy);
    }
    for (const key of step.options.keys()) {
        if (syntax.options !== "any" && !syntax.options.includes(key)) {
            return createStepFailure(step, `The option "${key}" is unknown here.`, remedy);
        }
    }
    for (const key of syntax.required ?? []) {
        if (!step.options.has(key)) {
            return createStepFailure(step, `The option "${key}" is missing.`, remedy);
        }
    }
    return undefined;
}
