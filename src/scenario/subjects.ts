/**
 * The subjects that `expect` and `wait-until` check: replies, journals, events, exits and the status of processes.
 */
import { getAnswerQuality } from "../standins/index.js";
import { getJournal } from "../testbench/index.js";
import type { SentReply } from "./reply.js";
import type { ScenarioState } from "./scenarioState.js";

/** Checks a subject. Returns the mismatch, or undefined when all options match. */
export type Subject = (
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
) => Promise<string | undefined>;

/** Option keys that specify the number of matching records. */
const countKeys: readonly string[] = ["count", "at-least", "at-most"];

/** All subjects by name. */
export const subjects: ReadonlyMap<string, Subject> = new Map<string, Subject>([
    ["reply", checkReply],
    ["journal", checkJournal],
    ["event", checkEvent],
    ["exit", checkExit],
    ["status", checkStatus],
    ["in-force", checkInForce],
]);

async function checkReply(
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
): Promise<string | undefined> {
    const reply = await state.getReply(name);
    if (reply === undefined) {
        return `No request "${name}" was sent.`;
    }
    const fields = getReplyFields(name, reply);
    for (const [key, expected] of options) {
        const actual = fields[key] ?? "absent";
        if (!expected.split("|").includes(actual)) {
            return `${key} is ${actual}, not ${expected}; the reply was ${reply.status} ${reply.text.slice(0, 300)}`;
        }
    }
    return undefined;
}

function getReplyFields(name: string, reply: SentReply): Readonly<Record<string, string | undefined>> {
    const answerHead = readAnswerHead(reply.answer);
    const isTruncated = answerHead !== undefined && getAnswerQuality(reply.answer) === undefined;
    const request = String(reply.headers["x-request-id"] ?? name);
    const version = reply.headers["x-rattanlock-version"] ?? reply.headers["x-model-version"] ?? answerHead?.version;
    return {
        status: String(reply.status),
        outcome: reply.outcome,
        version: version?.toString(),
        answer: reply.answer === "" ? "none" : reply.isComplete && !isTruncated ? "whole" : "part",
        own: answerHead?.request.startsWith(request) === true && answerHead.version === version ? "yes" : "no",
    };
}

/** Parses the request and version that the answer of a stand-in engine names; undefined for other answers. */
function readAnswerHead(answer: string): { readonly request: string; readonly version: string; } | undefined {
    const match = /^answer (\S+) by (\S+):/.exec(answer);
    return match ? { request: match[1], version: match[2] } : undefined;
}

async function checkJournal(
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
): Promise<string | undefined> {
    const records: Readonly<Record<string, unknown>>[] = [];
    for (const processName of name.split(",")) {
        records.push(...await getJournal<Readonly<Record<string, unknown>>>(state.site.getControlAddress(processName)));
    }
    return checkCount(records, options);
}

async function checkEvent(
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
): Promise<string | undefined> {
    return checkCount(state.site.getProcess(name).getEvents(), options);
}

async function checkExit(
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
): Promise<string | undefined> {
    const targetProcess = state.site.getProcess(name);
    if (!targetProcess.hasExited()) {
        return `${name} is still running.`;
    }
    const code = String(targetProcess.getExitCode() ?? "signal");
    const expected = options.get("code") ?? code;
    return code === expected ? undefined : `${name} exited with ${code}, not ${expected}.`;
}

async function checkStatus(
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
): Promise<string | undefined> {
    const status = await state.site.getStatus(name);
    for (const [key, expected] of options) {
        const actual = String(getField(status, key));
        if (actual !== expected) {
            return `${key} of ${name} is ${actual}, not ${expected}.`;
        }
    }
    return undefined;
}

/** Returns the field at a path such as `upstreams.length`. */
function getField(value: unknown, path: string): unknown {
    let field = value;
    for (const part of path.split(".")) {
        field = (field as Readonly<Record<string, unknown>> | undefined)?.[part];
    }
    return field;
}

async function checkInForce(state: ScenarioState): Promise<string | undefined> {
    await state.site.waitUntilApplied(state.lastOffset);
    return undefined;
}

/** Checks the number of records whose fields match. Without a count option, at least one must match. */
function checkCount(
    records: readonly Readonly<Record<string, unknown>>[],
    options: ReadonlyMap<string, string>,
): string | undefined {
    const criteria = [...options].filter(([key]) => !countKeys.includes(key));
    const matching = records.filter(record => criteria.every(([key, value]) => String(record[key]) === value));
    const { length: count } = matching;
    const exact = options.get("count");
    const min = Number(exact ?? options.get("at-least") ?? (options.has("at-most") ? 0 : 1));
    const max = Number(exact ?? options.get("at-most") ?? Number.MAX_SAFE_INTEGER);
    if (count >= min && count <= max) {
        return undefined;
    }
    return `${count} of ${records.length} records match, not ${exact ?? `${min} to ${max}`}.`;
}
