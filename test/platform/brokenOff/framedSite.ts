/**
 * A site whose runners write each framing by hand, and the judgement of what callers get from it.
 */
import { callerPort, createConfiguration, PlatformSite, type SiteNode } from "../platformSite.js";
import { readFramed, type ReadingPace, type SeenAnswer } from "../standins/framedCaller.js";
import { type FramedAnswer, FramedRunners, type FramedStream } from "../standins/framedRunner.js";

const runnerCount = 3;
const runnerPort = 7_020;
/** The settings of all streams here. */
const timeoutMilliseconds = 20_000;

/** A stream that one caller asks for. */
export interface FramedCase {
    readonly node: SiteNode;
    /** Whether its route lets another runner go on with it. */
    readonly isResumable: boolean;
    readonly pace?: ReadingPace;
    readonly events?: number;
    readonly eventBytes?: number;
    readonly answers: readonly FramedAnswer[];
}

/** A site with the routes `/stream/` and `/single/`, whose streams cannot be resumed. */
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
    async send({ node, isResumable, pace = "quick", answers, ...sizes }: FramedCase): Promise<FramedResult> {
        this.#count += 1;
        const id = `case-${this.#count}`;
        const stream: FramedStream = { events: 12, eventBytes: 10, ...sizes, answers };
        this.runners.add(id, stream);
        const path = `/${isResumable ? "stream" : "single"}/${id}`;
        const seen = await readFramed({ host: node.address, port: callerPort, path, id, pace });
        const last = this.runners.getRuns(id).at(-1)?.answer;
        return { id, seen, runs: this.runners.getRuns(id).length, verdict: judge(stream, seen, last) };
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
    seen: SeenAnswer,
    last: FramedAnswer | undefined,
): FramedResult["verdict"] {
    if (seen.status !== 200) {
        return "right";
    }
    if (seen.events.some((id, index) => id !== index + 1)) {
        return "wrong events";
    }
    const isWhole = seen.events.length === events && !seen.isInsideEvent;
    const isBrokenForCaller = seen.end === "broken" || (seen.end === "unstated" && seen.isInsideEvent);
    const endedSound = last !== undefined && last.broken === undefined && last.end !== "reset";
    if (isBrokenForCaller) {
        return endedSound ? "sound one cut" : "right";
    }
    const mayBeWhole = last?.framing === "none" && last.end !== "reset"
        && (last.broken === undefined || last.broken.at === "between");
    return isWhole || (seen.end === "unstated" && mayBeWhole) ? "right" : "passes for whole";
}

function createStreamConfiguration(): object {
    const { routes, ...configuration } = createConfiguration(2) as {
        readonly routes: readonly { readonly name: string; }[];
    };
    const stream = { ...routes.find(({ name }) => name === "stream"), timeout_ms: timeoutMilliseconds };
    const single = { ...stream, name: "single", path_prefix: "/single/", resumable: false };
    return { ...configuration, routes: [stream, single] };
}
