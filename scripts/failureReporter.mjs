// Finds what failed in the events of Node's test runner. As a reporter, it writes one JSON line for each failure.
import { relative, resolve } from "node:path";
import { stripVTControlCharacters } from "node:util";

/** Type of the failure of a suite or file of which tests failed. */
const subtestsFailed = "subtestsFailed";
const exitCodeOfFailedTests = 1;
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
        const reason = findReason(type, data);
        if (reason === undefined) {
            return undefined;
        }
        const output = isFile(data) ? this.#errorOutput.get(data.file) ?? [] : [];
        const lines = [...reason, ...output].slice(0, maxErrorLines);
        return { file: shorten(data.file), name: isFile(data) ? shorten(data.file) : shorten(data.name), lines };
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

/** Returns lines that say why something failed; undefined if it did not fail by itself. */
function findReason(type, data) {
    if (type === "test:pass" && isFile(data)) {
        return ["The file has no tests."];
    }
    const error = data.details?.error;
    const isFailure = type === "test:fail" && !isTodo(data) && error.failureType !== subtestsFailed;
    return isFailure || type === "test:complete" && hasEndedEarly(error) ? describeError(error) : undefined;
}

function isTodo({ todo }) {
    return todo !== undefined && todo !== false;
}

/** Events of a file itself name it in place of a test. */
function isFile({ name, file }) {
    return file !== undefined && resolve(name) === resolve(file);
}

/** Node does not report the failure of a file that was ended after one of its tests had failed, but only its completion. */
function hasEndedEarly(error) {
    return error?.failureType === subtestsFailed && error.exitCode !== undefined
        && error.exitCode !== exitCodeOfFailedTests;
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
