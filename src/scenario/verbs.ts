/**
 * The verbs of the scenario language.
 */
import { setFaults } from "../testbench/index.js";
import { createCall } from "./createCall.js";
import { createStepFailure } from "./readScenario.js";
import { sendRequest } from "./reply.js";
import { callerName, type VmListState } from "./scenarioSite.js";
import type { ScenarioState } from "./scenarioState.js";
import type { Step, StepSyntax } from "./step.js";
import { checkSubject, waitForSubject } from "./subjectSteps.js";

/** A verb: the syntax of its lines and its action, which throws when the step fails. */
export interface Verb extends StepSyntax {
    readonly run: (state: ScenarioState, step: Step) => Promise<void>;
}

const vmListStates: readonly VmListState[] = ["live", "leaving", "gone"];
const sendOptions = [
    "to",
    "model",
    "content",
    "tokens",
    "stream",
    "class",
    "workspace",
    "session",
    "path",
    "method",
    "body",
    "key",
    "within",
];

/** All verbs by name. */
export const verbs: ReadonlyMap<string, Verb> = new Map<string, Verb>([
    ["set", { usage: "set NAME VALUE", minWords: 2, maxWords: 2, options: [], run: setVariable }],
    ["start", {
        usage: "start KIND NAME [KEY=VALUE ...], or start NAME to restart an exited process",
        minWords: 1,
        maxWords: 2,
        options: "any",
        run: start,
    }],
    ["send", {
        usage: "send NAME to=PROCESS model=VERSION [content= tokens= stream=yes class= workspace= session=], "
            + "or send NAME to=PROCESS path=/PATH [method= body= key= workspace=]; within=MILLISECONDS sets the timeout",
        minWords: 1,
        maxWords: 1,
        options: sendOptions,
        required: ["to"],
        run: send,
    }],
    ["expect", {
        usage: "expect SUBJECT NAME [KEY=VALUE ...] with SUBJECT reply, journal, event, exit or status",
        minWords: 1,
        maxWords: 2,
        options: "any",
        run: checkSubject,
    }],
    ["wait-until", {
        usage: "wait-until SUBJECT NAME [KEY=VALUE ...] [within=MILLISECONDS], or wait-until in-force",
        minWords: 1,
        maxWords: 2,
        options: "any",
        run: waitForSubject,
    }],
    ["cut", {
        usage:
            "cut FROM>TO, or cut NAME for the link from the caller; after=BYTES cuts each answer after that many bytes instead",
        minWords: 1,
        maxWords: 1,
        options: ["after"],
        run: cut,
    }],
    ["delay", {
        usage: "delay FROM>TO milliseconds=N, or delay NAME milliseconds=N for the link from the caller",
        minWords: 1,
        maxWords: 1,
        options: ["milliseconds"],
        required: ["milliseconds"],
        run: delay,
    }],
    ["freeze", createProcessVerb("freeze", (state, name) => state.site.getProcess(name).pause())],
    ["wake", createProcessVerb("wake", (state, name) => state.site.getProcess(name).resume())],
    ["kill", createProcessVerb("kill", (state, name) => state.site.getProcess(name).kill())],
    ["stop", createProcessVerb("stop", (state, name) => state.site.getProcess(name).signal("SIGTERM"))],
    ["outage", createProcessVerb("outage", (state, name) => setOutage(state, name, "answer"))],
    ["restore", {
        usage: "restore NAME to end an outage, or restore FROM>TO to repair a link",
        minWords: 1,
        maxWords: 1,
        options: [],
        run: restore,
    }],
    ["fault", {
        usage: "fault NAME KEY=VALUE ... with the keys of the stand-in's /faults",
        minWords: 1,
        maxWords: 1,
        options: "any",
        run: (state, step) => setFaults(state.site.getControlAddress(step.words[0]), Object.fromEntries(step.options)),
    }],
    ["vm", {
        usage: "vm NAME STATE with STATE live, leaving or gone",
        minWords: 2,
        maxWords: 2,
        options: [],
        run: setVmState,
    }],
    ["publish", {
        usage: "publish SECTION KEY=VALUE ..., such as publish version.plan@2 status=withdrawn",
        minWords: 1,
        maxWords: 1,
        options: "any",
        run: publish,
    }],
]);

async function setVariable(state: ScenarioState, step: Step): Promise<void> {
    state.setVariable(step.words[0], step.words[1]);
}

async function start(state: ScenarioState, step: Step): Promise<void> {
    const [first, name] = step.words;
    if (name === undefined) {
        await state.site.restart(first);
        return;
    }
    await state.site.start(first, name, Object.fromEntries(step.options));
}

async function send(state: ScenarioState, step: Step): Promise<void> {
    const [name] = step.words;
    state.setReply(name, sendRequest(createCall(name, state.site, step.options)));
}

async function setVmState(state: ScenarioState, step: Step): Promise<void> {
    const [name, requested] = step.words;
    const vmListState = vmListStates.find(known => known === requested);
    if (vmListState === undefined) {
        throw createStepFailure(
            step,
            `"${requested}" is not a state of a VM.`,
            `Write one of ${vmListStates.join(", ")}.`,
        );
    }
    await state.site.setVmState(name, vmListState);
}

async function publish(state: ScenarioState, step: Step): Promise<void> {
    const [section] = step.words;
    const changes = [...step.options].map(([key, value]) => ({ section, key, value }));
    state.lastOffset = await state.site.publish(changes);
}

async function restore(state: ScenarioState, step: Step): Promise<void> {
    const [name] = step.words;
    if (name.includes(">")) {
        const faults = { cut: false, delayMilliseconds: 0, freeze: false, halfOpen: false, oneWay: "none" };
        await setLinkFaults(state, name, { ...faults, cutAfterBytes: 0 });
        return;
    }
    await setOutage(state, name, "none");
}

function setOutage(state: ScenarioState, name: string, outage: "answer" | "none"): Promise<void> {
    return setFaults(state.site.getControlAddress(name), { outage });
}

function setLinkFaults(state: ScenarioState, name: string, faults: object): Promise<void> {
    const [from, to] = name.includes(">") ? name.split(">") : [callerName, name];
    return state.site.setLinkFaults(from, to, faults);
}

function cut(state: ScenarioState, step: Step): Promise<void> {
    const after = step.options.get("after");
    return setLinkFaults(state, step.words[0], after === undefined ? { cut: true } : { cutAfterBytes: after });
}

function delay(state: ScenarioState, step: Step): Promise<void> {
    return setLinkFaults(state, step.words[0], { delayMilliseconds: step.options.get("milliseconds") });
}

function createProcessVerb(
    verb: string,
    action: (state: ScenarioState, name: string) => void | Promise<void>,
): Verb {
    return {
        usage: `${verb} NAME`,
        minWords: 1,
        maxWords: 1,
        options: [],
        run: async (state, step) => action(state, step.words[0]),
    };
}
