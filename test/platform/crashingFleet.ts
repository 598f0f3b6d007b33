/**
 * Runners that crash as soon as they begin to run a certain request, and come back under other identifiers.
 */
import type { ServerResponse } from "node:http";
import type { PlatformSite, SiteAnswer, SiteNode } from "./platformSite.js";
import { createSeal, type ReceivedRequest } from "./standins/runnerStandin.js";

/** The body of the request that crashes its runners, unless a test chooses others. */
const crashingBody = "crash";
/** Path of a route whose answers are resumed at another runner after a failure. */
const streamPath = "/stream/1";
const restartMilliseconds = 300;
const tokensPerPart = 50;

/** Runners that one body crashes. */
export class CrashingFleet {
    /** Identifiers of the runners that have crashed. */
    readonly crashed: string[] = [];
    readonly #site: PlatformSite;
    readonly #isCrashing: (request: ReceivedRequest) => boolean;
    readonly #restarts = new Set<NodeJS.Timeout>();
    #started = 0;

    /**
     * @param site - The site whose runners crash.
     * @param isCrashing - Returns whether a request crashes its runner.
     */
    constructor(
        site: PlatformSite,
        isCrashing: (request: ReceivedRequest) => boolean = ({ body }) => body === crashingBody,
    ) {
        this.#site = site;
        this.#isCrashing = isCrashing;
        site.addCleanup(async () => {
            for (const restart of this.#restarts) {
                clearTimeout(restart);
            }
        });
    }

    /** Starts the site with runners and nodes, and waits until all nodes serve. */
    async start(runnerCount: number, nodeCount: number): Promise<void> {
        const site = this.#site;
        await site.start(0);
        for (let index = 0; index < runnerCount; index += 1) {
            await this.startRunner();
        }
        for (let index = 1; index <= nodeCount; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
        for (const node of site.nodes) {
            await site.waitForAddresses(node, nodeCount);
        }
    }

    /** Starts a runner. */
    async startRunner(): Promise<void> {
        this.#started += 1;
        const id = `i-crashing-${this.#started}`;
        const runner = await this.#site.addRunner(id);
        runner.behaviour = (request, response) => this.#answer(id, request, response);
    }

    /** Sends the crashing request again, as a new attempt of the same caller. */
    sendAgain(node: SiteNode): Promise<SiteAnswer | undefined> {
        return this.#site.send(node, { path: streamPath, body: crashingBody }).catch(() => {
            // The answer was cut off.
            return undefined;
        });
    }

    /** Sends a harmless request. */
    sendOther(node: SiteNode, body: string): Promise<SiteAnswer | undefined> {
        return this.#site.send(node, { path: streamPath, body }).catch(() => undefined);
    }

    /** Sends a request whose prompt has the given parts. */
    sendPrompt(node: SiteNode, parts: readonly string[]): Promise<SiteAnswer | undefined> {
        const headers = {
            "model": "m",
            "token-count": `${parts.length * tokensPerPart},20`,
            "prompt-prefix": parts.map(part => `${part}:${tokensPerPart}`).join(","),
        };
        return this.#site.send(node, { path: streamPath, body: parts.join(" "), headers }).catch(() => undefined);
    }

    /** Crashes a runner and starts another one in its place. */
    crash(id: string): void {
        this.crashed.push(id);
        this.#site.runners.get(id)?.close();
        this.#site.store.remove("keyed.servers", id);
        this.#restarts.add(setTimeout(() => void this.startRunner(), restartMilliseconds));
    }

    async #answer(id: string, request: ReceivedRequest, response: ServerResponse): Promise<void> {
        response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
        response.write("id: 1\ndata: one\n\n");
        if (this.#isCrashing(request)) {
            await new Promise(resolve => setTimeout(resolve, 50));
            this.crash(id);
            return;
        }
        response.end("id: 2\ndata: two\n\n");
    }
}
