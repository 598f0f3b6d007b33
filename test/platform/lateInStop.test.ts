import { expect } from "earl";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { callerPort, PlatformSite, type SiteNode } from "./platformSite.js";
import { createSeal } from "./standins/runnerStandin.js";

const callers = 40;
const runnerCount = 4;
const paths = ["/call/1", "/booking/1", "/stream/1"];
const deadlineMilliseconds = 3_000;
/** Runs of the requests, the longest just within the time of their routes. */
const minRunMilliseconds = 400;
const maxRunMilliseconds = 2_500;
const settlingMilliseconds = 1_000;

interface KeptRequest {
    readonly id: string;
    /** Bytes of the answer, as far as they came before the connection ended. */
    readonly answer: string;
}

// Callers go on using their kept connections while a node is stopped in calm; what it passes on late must not be cut at the end of its time.
describe("a node that is stopped in calm", () => {
    const site = new PlatformSite("127.73.97");
    const started = new Set<string>();
    after(() => site.stop());
    before(async () => {
        await site.start(runnerCount);
        for (const runner of site.runners.values()) {
            runner.behaviour = async (request, response) => {
                const id = String(request.headers["attempt-id"]);
                started.add(id);
                await sleep(getRunMilliseconds(id));
                response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
                response.end(`id: 1\ndata: ${id}\n\n`);
            };
        }
        for (let index = 1; index <= 3; index += 1) {
            await site.waitForReady(site.startNode(index));
        }
    });

    it("answers or refuses each request that a runner has begun", async () => {
        const node = site.nodes[0];
        const asking = Array.from({ length: callers }, (...[, index]) => askUntilGone(node, index));
        await sleep(settlingMilliseconds);
        node.child.kill("SIGTERM");
        const requests = (await Promise.all(asking)).flat();
        expect(await node.exited).toEqual(0);
        const lost = requests.filter(({ id, answer }) => started.has(id) && !isWhole(answer));
        expect({ lost: lost.map(({ id }) => id), isTested: requests.length > callers }).toEqual({
            lost: [],
            isTested: true,
        });
    });

    /** Sends requests one after the other, on a kept connection while it stays open, until the node refuses connections. */
    async function askUntilGone(node: SiteNode, caller: number): Promise<readonly KeptRequest[]> {
        const requests: KeptRequest[] = [];
        let connection = await open(node);
        for (let count = 0; connection !== undefined; count += 1) {
            const id = `caller-${caller}-${count}`;
            const answer: string = await connection.ask(id, paths[(caller + count) % paths.length]);
            requests.push({ id, answer });
            if (connection.isClosed()) {
                connection = await open(node);
            }
        }
        return requests;
    }
});

function getRunMilliseconds(id: string): number {
    const [caller, count] = id.split("-").slice(1).map(Number);
    return minRunMilliseconds + (caller * 7 + count * 13) % 21 / 20 * (maxRunMilliseconds - minRunMilliseconds);
}

function isWhole(answer: string): boolean {
    return /^HTTP\/1\.1 [45]/.test(answer) || answer.includes("0\r\n\r\n") || answer.endsWith("\n\n");
}

/** Opens a connection for requests one after the other. Returns undefined if the node refuses it. */
async function open({ address }: SiteNode) {
    const socket = connect(callerPort, address);
    let received = "";
    let isClosed = false;
    let notify = (): void => {};
    socket.on("error", () => {
        // The end of the connection is seen by its closing.
    });
    socket.on("data", data => {
        received += data.toString();
        notify();
    });
    socket.on("close", () => {
        isClosed = true;
        notify();
    });
    const isOpen = await new Promise<boolean>(resolve => {
        socket.once("connect", () => resolve(true));
        socket.once("close", () => resolve(false));
    });
    if (!isOpen) {
        return undefined;
    }
    const ask = async (id: string, path: string): Promise<string> => {
        received = "";
        socket.write([
            `POST ${path} HTTP/1.1`,
            "Host: app.example",
            `Attempt-Id: ${id}`,
            `Deadline-Ms: ${deadlineMilliseconds}`,
            "Api-Key: key",
            "Content-Length: 0",
            "",
            "",
        ].join("\r\n"));
        while (!isClosed && !isComplete(received)) {
            await new Promise<void>(resolve => notify = resolve);
        }
        return received;
    };
    return { ask, isClosed: () => isClosed || /^connection: close/im.test(received) };
}

/** Returns whether an answer with a length or chunks is complete. */
function isComplete(received: string): boolean {
    const [head, body] = received.split("\r\n\r\n", 2);
    if (body === undefined) {
        return false;
    }
    const length = /^content-length: (\d+)/im.exec(head)?.[1];
    return length === undefined ? received.endsWith("0\r\n\r\n") : body.length >= Number(length);
}
