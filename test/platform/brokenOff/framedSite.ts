/**
 * A site whose runners write each framing by hand, and the judgement of what callers get from it.
 */
import { waitUntil } from "../../../src/testbench/index.js";
import { callerPort, createConfiguration, PlatformSite, type SiteNode } from "../platformSite.js";
import { readFramed, type ReadingPace, type SeenAnswer } from "../standins/framedCaller.js";
import {
    type FramedAnswer,
    type FramedRun,
    FramedRunners,
    type FramedStream,
    isFramed,
} from "../standins/framedRunner.js";

const runnerCount = 3;
const runnerPort = 7_020;
/** So many that the budget ends no case. */
const maxRetries = 5_000;
/** The settings of all streams here. */
const timeoutMilliseconds = 20_000;

/** The routes of the site: streams that may be resumed or not, and calls that may be repeated or not. */
export type FramedRoute = "stream" | "single" | "call" | "booking";

/** An answer that one caller asks for. */
export interface FramedCase {
    readonly node: SiteNode;
    readonly route: FramedRoute;
    /** Called when the first run has arrived at a runner. */
    readonly onArrival?: () => Promise<void>;
    readonly pace?: ReadingPace;
    readonly events?: number;
    readonly eventBytes?: number;
    readonly answers: readonly FramedAnswer[];
}

/** A site with a path for each route. */
export class FramedSite {
    readonly site: PlatformSite;
    readonly runners = new FramedRunners();
    #count = 0;

    readonly #maxAttempts: number | undefined;

    /**
     * @param prefix - The first three bytes of the site's addresses.
     * @param maxAttempts - Upstreams to which a stream may be sent, if they differ from the site's usual number.
     */
    constructor(prefix: string, maxAttempts?: number) {
        this.site = new PlatformSite(prefix, { retry_budget_ratio: 5, budget_extra: maxRetries });
        this.#maxAttempts = maxAttempts;
    }

    /** Starts the store, the runners and nodes, whose path to the runners can be cut. */
    async start(nodes: number): Promise<void> {
        await this.site.start(0);
        this.site.store.put("keyed.op", "config", createStreamConfiguration(this.#maxAttempts));
        for (let index = 1; index <= runnerCount; index += 1) {
            const host = `${this.site.prefix}.${100 + index}`;
            await this.runners.listen(host, runnerPort);
            this.site.register(`i-${index}`, { address: `${host}:${runnerPort}`, slots: 100 });
        }
        for (let index = 1; index <= nodes; index += 1) {
            await this.site.waitForReady(this.site.startCuttableNode(index));
        }
    }

    /** Sends one request and reads its answer. */
    async send({ node, route, pace = "quick", answers, onArrival, ...sizes }: FramedCase): Promise<FramedResult> {
        this.#count += 1;
        const id = `case-${this.#count}`;
        const stream: FramedStream = { events: 12, eventBytes: 10, ...sizes, answers };
        this.runners.add(id, stream);
        const path = `/${route}/${id}`;
        const pending = readFramed({ host: node.address, port: callerPort, path, id, pace });
        if (onArrival !== undefined) {
            await waitUntil(() => this.runners.getRuns(id).length > 0, { description: "the first run" });
            await onArrival();
        }
        const seen = await pending;
        const runs = this.runners.getRuns(id);
        return { id, seen, runs: runs.length, verdict: judge(stream, { route, seen, runs }) };
    }

    /** Stops everything. */
    async stop(): Promise<void> {
        await this.site.stop();
        this.runners.close();
    }
}

/** What a caller got, and whether it may be so. */
export interface FramedResult {
    readonly id: string;
    readonly seen: SeenAnswer;
    readonly runs: number;
    readonly verdict: "right" | "passes for whole" | "sound one cut" | "whole one lost" | "wrong events";
}

/** What a runner has said of the end of its answer. One that was killed has said nothing of an end in order. */
type StatedEnd = "whole" | "unstated" | "broken";

/** Decides what a runner has said, by the bytes that it wrote and the end of its connection. */
function getStatedEnd(answer: FramedAnswer): StatedEnd {
    const { broken, downMilliseconds, end, head } = answer;
    const isEventStream = head !== "json";
    if (broken !== undefined && broken.at !== "between" && isEventStream) {
        return "broken";
    }
    if (isFramed(answer)) {
        return broken === undefined || broken.at === "last-chunk" ? "whole" : "broken";
    }
    return end === "reset" || downMilliseconds !== undefined ? "broken" : "unstated";
}

/**
 * Judges what a caller got, which always has a framing. An answer that had none at its runner and ended in order is whole if the runner
 * lives, by whatever it contains: nobody on the way knows that it should contain more. So is the body of a call of which a runner frames
 * half. Where an earlier part had a framing, the end of the rest needs a runner that has nothing more.
 */
function judge(
    { events }: FramedStream,
    { route, seen, runs }: {
        readonly route: FramedRoute;
        readonly seen: SeenAnswer;
        /** The runs, in their order. */
        readonly runs: readonly FramedRun[];
    },
): FramedResult["verdict"] {
    if (seen.status < 200 || seen.status > 299) {
        return "right";
    }
    if (seen.events.some((id, index) => id !== index + 1)) {
        return "wrong events";
    }
    const answers = runs.map(run => run.answer);
    const last = answers.at(-1);
    const isEventStream = last?.head !== "json";
    const isWhole = seen.events.length === events && !seen.isInsideEvent;
    const isBrokenForCaller = seen.end === "broken"
        || (isEventStream && seen.end === "unstated" && seen.isInsideEvent);
    const isSound = ({ broken, end }: FramedAnswer): boolean => broken === undefined && end !== "reset";
    if (isBrokenForCaller) {
        return last !== undefined && isSound(last) ? "sound one cut" : "right";
    }
    if (isWhole) {
        return "right";
    }
    if (isCall(route) && answers.some(isSound)) {
        return "whole one lost";
    }
    const stated = answers.map(getStatedEnd);
    // Two ends that agree: the run that was asked for what follows the last event has ended in order with nothing.
    const isConfirmed = stated.at(-1) === "unstated" && stated.at(-2) === "unstated"
        && runs.at(-1)?.lastEventId === seen.events.length;
    const isEndedByRunner = stated.at(-1) === "unstated" && !isFramed(answers[0]);
    const isStatedWhole = isCall(route)
        ? stated.includes("whole") || stated.includes("unstated")
        : stated.at(-1) === "whole" || isConfirmed || isEndedByRunner;
    const mayBeWhole = seen.end === "whole" && isStatedWhole;
    return mayBeWhole ? "right" : "passes for whole";
}

function isCall(route: FramedRoute): boolean {
    return route === "call" || route === "booking";
}

function createStreamConfiguration(maxAttempts: number | undefined): object {
    const { routes, ...configuration } = createConfiguration(2) as {
        readonly routes: readonly { readonly name: string; }[];
    };
    const slow = routes.map(route => ({ ...route, timeout_ms: timeoutMilliseconds }));
    const stream = {
        ...slow.find(({ name }) => name === "stream"),
        ...maxAttempts === undefined ? {} : { max_attempts: maxAttempts },
    };
    const single = { ...stream, name: "single", path_prefix: "/single/", resumable: false };
    return { ...configuration, routes: [...slow.filter(({ name }) => name !== "stream"), stream, single] };
}
