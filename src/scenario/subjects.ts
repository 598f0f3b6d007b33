/**
 * What `expect` and `wait-until` look at: replies, journals, events, exits and the status of processes.
 */
import { getAnswerQuality } from "../standins/index.js";
import { getJournal } from "../testbench/index.js";
import type { SentReply } from "./reply.js";
import type { ScenarioState } from "./scenarioState.js";

/** Looks at something; returns what is wrong, or undefined when all options hold. */
export type Subject = (
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
) => Promise<string | undefined>;

/** Keys that a subject reads as numbers of matching notes. */
const countKeys: readonly string[] = ["count", "at-least", "at-most"];

/** The subjects by name. */
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
    const facts = getReplyFacts(name, reply);
    for (const [key, wanted] of options) {
        const found = facts[key] ?? "absent";
        if (!wanted.split("|").includes(found)) {
            return `${key} is ${found}, not ${wanted}; the reply was ${reply.status} ${reply.text.slice(0, 300)}`;
        }
    }
    return undefined;
}

function getReplyFacts(name: string, reply: SentReply): Readonly<Record<string, string | undefined>> {
    const named = readAnswerHead(reply.answer);
    const isCut = named !== undefined && getAnswerQuality(reply.answer) === undefined;
    const request = String(reply.headers["x-request-id"] ?? name);
    const version = reply.headers["x-rattanlock-version"] ?? reply.headers["x-model-version"] ?? named?.version;
    return {
        status: String(reply.status),
        outcome: reply.outcome,
        version: version?.toString(),
        answer: reply.answer === "" ? "none" : reply.whole && !isCut ? "whole" : "part",
        own: named?.request.startsWith(request) === true && named.version === version ? "yes" : "no",
    };
}

/** Reads what a model's answer says of itself; undefined when it is no such answer. */
function readAnswerHead(answer: string): { readonly request: string; readonly version: string; } | undefined {
    const match = /^answer (\S+) by (\S+):/.exec(answer);
    return match ? { request: match[1], version: match[2] } : undefined;
}

async function checkJournal(
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
): Promise<string | undefined> {
    const notes: Readonly<Record<string, unknown>>[] = [];
    for (const member of name.split(",")) {
        notes.push(...await getJournal<Readonly<Record<string, unknown>>>(state.site.getControl(member)));
    }
    return checkCount(notes, options);
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
    const ended = state.site.getProcess(name);
    if (!ended.hasExited()) {
        return `${name} still runs.`;
    }
    const code = String(ended.getExitCode() ?? "signal");
    const wanted = options.get("code") ?? code;
    return code === wanted ? undefined : `${name} ended with ${code}, not ${wanted}.`;
}

async function checkStatus(
    state: ScenarioState,
    name: string,
    options: ReadonlyMap<string, string>,
): Promise<string | undefined> {
    const status = await state.site.getStatus(name);
    for (const [key, wanted] of options) {
        const found = String(getField(status, key));
        if (found !== wanted) {
            return `${key} of ${name} is ${found}, not ${wanted}.`;
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
    await state.site.waitInForce(state.lastOffset);
    return undefined;
}

/** Counts the notes whose fields match; without a count there has to be one at least. */
function checkCount(
    notes: readonly Readonly<Record<string, unknown>>[],
    options: ReadonlyMap<string, string>,
): string | undefined {
    const wanted = [...options].filter(([key]) => !countKeys.includes(key));
    const matching = notes.filter(note => wanted.every(([key, value]) => String(note[key]) === value));
    const { length: count } = matching;
    const exact = options.get("count");
    const least = Number(exact ?? options.get("at-least") ?? (options.has("at-most") ? 0 : 1));
    const most = Number(exact ?? options.get("at-most") ?? Number.MAX_SAFE_INTEGER);
    if (count >= least && count <= most) {
        return undefined;
    }
    return `${count} of ${notes.length} notes match, not ${exact ?? `${least} to ${most}`}.`;
}
