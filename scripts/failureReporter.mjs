// Finds what failed in the events of Node's test runner. As a reporter, it writes one JSON line for each failure.
import { relative } from "node:path";
import { stripVTControlCharacters } from "node:util";

const maxErrorLines = 12;
const maxLineLength = 240;
/** A line of a stack that lies in Node itself. */
const nodeFrame = /^\s+at .*\bnode:internal\//;

/** Turns the events of a run into failures: the file, the name of the test and the first lines of its error. */
export class FailureCollector {
    /** The last lines that each file wrote to its standard error, which tell why it could not be loaded. */
    #errorOutput = new Map();

    /** Returns the failure that an event reports; undefined if it reports none. */
    observe({ type, data }) {
        if (type === "test:stderr") {
            const lines = [...this.#errorOutput.get(data.file) ?? [], ...splitLines(data.message)];
            this.#errorOutput.set(data.file, lines.slice(-maxErrorLines));
            return undefined;
        }
        if (type !== "test:fail" || isTodo(data) || failedBySubtests(data.details.error)) {
            return undefined;
        }
        const output = data.name === data.file ? this.#errorOutput.get(data.file) ?? [] : [];
        const lines = [...describeError(data.details.error), ...output].slice(0, maxErrorLines);
        return { file: shorten(data.file), name: shorten(data.name), lines };
    }
}

/** Node's test runner calls this with its events. */
export default async function* reportFailures(source) {
    const collector = new FailureCollector();
    for await (const event of source) {
        const failure = collector.observe(event);
        if (failure !== undefined) {
            yield `${JSON.stringify(failure)}\n`;
        }
    }
}

function isTodo({ todo }) {
    return todo !== undefined && todo !== false;
}

/** A suite or file that fails only because of its subtests is not a failure of its own, unless a signal ended it. */
function failedBySubtests({ failureType, signal }) {
    return failureType === "subtestsFailed" && (signal ?? undefined) === undefined;
}

function describeError({ failureType, cause, message, exitCode, signal }) {
    const text = cause?.stack ?? cause?.message ?? cause ?? message;
    const end = exitCode === undefined ? "" : `, exit code ${exitCode}, signal ${signal}`;
    const [first, ...others] = splitLines(String(text));
    return [`${first} (${failureType}${end})`, ...others];
}

function splitLines(text) {
    const lines = stripVTControlCharacters(text).split("\n").map(line => line.trimEnd().slice(0, maxLineLength));
    return lines.filter(line => line !== "" && !nodeFrame.test(line));
}

/** Test files are named by their path from the current folder. */
function shorten(name = "") {
    return name.startsWith("/") ? relative("", name) : name.slice(0, maxLineLength);
}
