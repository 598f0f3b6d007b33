/**
 * A site whose runners write each framing by hand, and the judgement of what callers get from it.
 */
import { waitUntil } from "../../../src/testbench/index.js";
import { callerPort, createConfiguration, PlatformSite, type SiteNode } from "../platformSite.js";
import { readFramed, type ReadingPace, type SeenAnswer } from "../standins/framedCaller.js";
import { type FramedAnswer, FramedRunners, type FramedStream } from "../standins/framedRunner.js";

const runnerCount = 3;
const runnerPort = 7_020;
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

    /** @param prefix - The first three bytes of the site's addresses. */
    constructor(prefix: string) {
        this.site = new PlatformSite(prefix, { retry_budget_ratio: 5 });
    }

    /** Starts the store, the runners and nodes, whose path to the runners can be cut. */
    async start(nodes: number): Promise<void> {
        await this.site.start(0);
        this.site.store.put("keyed.op", "config", createStreamConfiguration());
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
        const last = this.runners.getRuns(id).at(-1)?.answer;
        return { id, seen, runs: this.runners.getRuns(id).length, verdict: judge(stream, { route, seen, last }) };
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
    readonly verdict: "right" | "passes for whole" | "sound one cut" | "wrong events";
}

/**
 * Judges what a caller got. An answer that has no framing and ended in order at its runner may end so at its caller, whether it was whole
 * or not: nobody claims that it was.
 */
function judge(
    { events }: FramedStream,
    { route, seen, last }: {
        readonly route: FramedRoute;
        readonly seen: SeenAnswer;
        readonly last: FramedAnswer | undefined;
    },
): FramedResult["verdict"] {
    if (seen.status !== 200) {
        return "right";
    }
    if (seen.events.some((id, index) => id !== index + 1)) {
        return "wrong events";
    }
    const isWhole = seen.events.length === events && !seen.isInsideEvent;
    const isStream = route === "stream" || route === "single";
    const isBrokenForCaller = seen.end === "broken" || (isStream && seen.end === "unstated" && seen.isInsideEvent);
    const endedSound = last !== undefined && last.broken === undefined && last.end !== "reset";
    if (isBrokenForCaller) {
        return endedSound ? "sound one cut" : "right";
    }
    // What the body of a call has to contain is known to nobody on the way: a runner that frames half of it has made it the whole.
    const isFramedPart = !isStream && last?.broken?.at === "last-chunk";
    const mayBeWhole = last?.framing === "none" && last.end !== "reset"
        && (last.broken === undefined || last.broken.at === "between" || !isStream);
    return isWhole || isFramedPart || (seen.end === "unstated" && mayBeWhole) ? "right" : "passes for whole";
}

function createStreamConfiguration(): object {
    const { routes, ...configuration } = createConfiguration(2) as {
        readonly routes: readonly { readonly name: string; }[];
    };
    const slow = routes.map(route => ({ ...route, timeout_ms: timeoutMilliseconds }));
    const stream = slow.find(({ name }) => name === "stream");
    const single = { ...stream, name: "single", path_prefix: "/single/", resumable: false };
    return { ...configuration, routes: [...slow, single] };
}
