import { expect } from "earl";
import { writeFileSync } from "node:fs";
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { callerPort, createConfiguration, PlatformSite, type SiteNode } from "../platformSite.js";
import { readFramed, type SeenAnswer } from "../standins/framedCaller.js";
import { unframedBodyPieces, unframedEvents, UnframedRunner } from "../standins/unframedRunner.js";

const runnerPort = 7_020;
const idleConnections = 100;
const rounds = 6;
const requestsOfRoute = 4;
/** A time at which each answer has begun and none has ended. */
const amidMilliseconds = 250;
/** Time after which a killed process is back. */
const downMilliseconds = 400;

/** The routes: unsafe calls, and streams that are resumable with two attempts or one, or not resumable. */
const routes = ["booking", "stream", "brief", "once"] as const;
type RouteName = typeof routes[number];

function createRoutes(): object {
    const { routes: usual, ...configuration } = createConfiguration(2) as {
        readonly routes: readonly { readonly name: string; }[];
    };
    const booking = usual.find(({ name }) => name === "booking");
    const stream = { ...usual.find(({ name }) => name === "stream"), timeout_ms: 20_000, max_attempts: 2 };
    const brief = { ...stream, name: "brief", path_prefix: "/brief/", max_attempts: 1 };
    const once = { ...brief, name: "once", path_prefix: "/once/", resumable: false };
    return { ...configuration, routes: [booking, stream, brief, once] };
}

/** An answer as its caller sees it. */
interface Seen {
    readonly route: RouteName;
    readonly answer: SeenAnswer;
}

/** Returns those answers that are not whole and do not show it. */
function findPassing(seen: readonly Seen[]): readonly string[] {
    const passing: string[] = [];
    for (const { route, answer: { status, events, body, end, isInsideEvent } } of seen) {
        const isWhole = route === "booking"
            ? body === unframedBodyPieces.join("")
            : events.length === unframedEvents;
        const isVisible = status !== 200 || end === "broken" || (route !== "booking" && isInsideEvent);
        if (!isWhole && !isVisible) {
            passing.push(`${route}: ${end} after ${body.length} bytes`);
        }
    }
    return passing;
}

class UnframedSite {
    readonly site: PlatformSite;
    readonly runners: UnframedRunner[] = [];
    #count = 0;

    constructor(prefix: string) {
        this.site = new PlatformSite(prefix);
    }

    async start(nodes: number, runners: number): Promise<void> {
        await this.site.start(0);
        this.site.store.put("keyed.op", "config", createRoutes());
        for (let index = 1; index <= runners; index += 1) {
            const host = `${this.site.prefix}.${100 + index}`;
            const runner = new UnframedRunner(host, runnerPort, idleConnections);
            this.runners.push(runner);
            await runner.start();
            this.site.register(`i-${index}`, { address: `${host}:${runnerPort}`, slots: 100 });
        }
        for (let index = 1; index <= nodes; index += 1) {
            await this.site.waitForReady(this.site.startCuttableNode(index));
        }
    }

    /** Sends requests on each route and does something amid their answers. */
    async sendAll(node: SiteNode, act: () => Promise<void>): Promise<readonly Seen[]> {
        const pending: Promise<Seen>[] = [];
        for (const route of routes) {
            for (let index = 0; index < requestsOfRoute; index += 1) {
                this.#count += 1;
                const id = `case-${this.#count}`;
                const path = `/${route}/${id}`;
                const answer = readFramed({ host: node.address, port: callerPort, path, id, pace: "quick" });
                pending.push(answer.then(seen => ({ route, answer: seen })));
            }
        }
        await sleep(amidMilliseconds);
        await act();
        return Promise.all(pending);
    }

    async stop(): Promise<void> {
        for (const runner of this.runners) {
            await runner.kill();
        }
        await this.site.stop();
    }
}

// The kernel ends the connections of a killed process in order. Its answers without a framing then seem to be whole.
describe("answers without a framing whose runner is killed", () => {
    const unframed = new UnframedSite("127.72.133");
    let node: SiteNode;
    before(async () => {
        await unframed.start(1, 2);
        node = unframed.site.nodes[0];
    });
    after(() => unframed.stop());

    // Guards against half a confirmation or stream that ends in order, since the kernel accepts connections for the killed runner.
    it("pass for whole at no caller", async () => {
        const seen: Seen[] = [];
        for (let round = 0; round < rounds; round += 1) {
            const runner = unframed.runners[round % unframed.runners.length];
            seen.push(...await unframed.sendAll(node, () => runner.kill()));
            await sleep(downMilliseconds);
            await runner.start();
        }
        expect(findPassing(seen)).toEqual([]);
        const visible = seen.filter(({ answer }) => answer.status !== 200 || answer.end === "broken");
        expect(visible.length > 0).toEqual(true);
    });

    // Guards against a sound answer that is cut, asked for again or left without an end since its runner frames nothing.
    it("are whole for all callers while no runner is killed", async () => {
        const seen = await unframed.sendAll(node, () => Promise.resolve());
        expect(seen.filter(({ answer }) => answer.status !== 200 || answer.end !== "whole")).toEqual([]);
        expect(findPassing(seen)).toEqual([]);
    });
});

// A node is killed while it passes on answers without a framing, to its own callers or to another node.
describe("answers without a framing whose node is killed", () => {
    const unframed = new UnframedSite("127.72.134");
    before(() => unframed.start(3, 2));
    after(() => unframed.stop());
    afterEach(() => {
        for (const { cutFile } of unframed.site.nodes) {
            writeFileSync(cutFile, "none");
        }
    });

    async function kill(index: number): Promise<void> {
        const { child, exited } = unframed.site.nodes[index - 1];
        child.kill("SIGKILL");
        await exited;
    }

    // Guards against half a stream that ends in order, since the kernel ends the connections of the killed node so.
    it("pass for whole at no caller of that node", async () => {
        for (const index of [1, 2]) {
            const seen = await unframed.sendAll(unframed.site.nodes[index - 1], () => kill(index));
            expect(findPassing(seen)).toEqual([]);
            expect(seen.some(({ answer }) => answer.status === 200)).toEqual(true);
            await unframed.site.waitForReady(unframed.site.startCuttableNode(index));
        }
    });

    // Guards against half a stream that the caller's node takes for whole, since the node that relays it was killed.
    it("pass for whole at no caller of a node for which that one relays", async () => {
        const [node] = unframed.site.nodes;
        await unframed.site.waitForAddresses(node, 3);
        writeFileSync(node.cutFile, "reset");
        const isRelayed = async (): Promise<boolean> =>
            (await unframed.sendAll(node, () => Promise.resolve())).every(({ answer }) => answer.status === 200);
        for (let tries = 0; !await isRelayed(); tries += 1) {
            expect(tries < 10).toEqual(true);
        }
        const seen = await unframed.sendAll(node, () => kill(2));
        expect(findPassing(seen)).toEqual([]);
    });
});
