import { expect } from "earl";
import { createServer, type Server, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { callerPort, createConfiguration, PlatformSite, type SiteNode } from "../platformSite.js";
import { readFramed } from "../standins/framedCaller.js";

const runnerPort = 7_020;
/** More than the kernels of both machines hold, and less. */
const uploadBytes = 8_000_000;
const heldBytes = 300_000;
const timeoutMilliseconds = 5_000;
const headEnd = "\r\n\r\n";
const half = "half of the answer";
/** Time for which a runner that has ended its answer reads nothing and keeps its connection. */
const keepMilliseconds = 300;
/** Time that the bytes of an answer have to leave before a reset discards them. */
const leaveMilliseconds = 30;

/** How a runner answers an upload of which it has read the head only. */
interface EarlyAnswer {
    readonly framing: "none" | "length" | "chunks";
    readonly end: "order" | "reset";
    readonly status: string;
}

const framingHeaders: Readonly<Record<EarlyAnswer["framing"], string>> = {
    none: "Connection: close",
    length: `Content-Length: ${2 * half.length}`,
    chunks: "Transfer-Encoding: chunked",
};
/** The framing of an answer that is whole. */
const wholeHeader = `Content-Length: ${half.length}`;
const successStatus = "200";

/** Runners that answer each request at once, without reading its body, in the way that its path names. */
class EarlyRunners {
    readonly #servers: Server[] = [];

    listen(host: string): Promise<void> {
        const server = createServer(socket => this.#serve(socket));
        this.#servers.push(server);
        return new Promise(resolve => server.listen(runnerPort, host, resolve));
    }

    close(): void {
        for (const server of this.#servers) {
            server.close();
        }
    }

    #serve(socket: Socket): void {
        let head = "";
        socket.on("error", () => {
            // The node has reset the connection.
        });
        socket.on("data", (bytes: Buffer) => {
            head += bytes.toString("latin1");
            if (head.includes(headEnd)) {
                socket.pause();
                answerEarly(socket, head.slice(0, head.indexOf(headEnd)));
                head = "";
            }
        });
    }
}

function answerEarly(socket: Socket, head: string): void {
    const [, framing, end, status] = /\/early-(\w+)-(\w+)-(\d+)/.exec(head) ?? [];
    const id = /^attempt-id: (\S+)/im.exec(head)?.[1] ?? "";
    if (framing === undefined) {
        socket.end(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
        return;
    }
    const seal = `Attempt-Id: ${id}\r\nServer-Seal: 3e1b.07\r\nContent-Type: text/plain`;
    const body = framing === "chunks" ? `${half.length.toString(16)}\r\n${half}\r\n` : half;
    const framed = status === successStatus ? framingHeaders[framing as EarlyAnswer["framing"]] : wholeHeader;
    socket.write(`HTTP/1.1 ${status} OK\r\n${seal}\r\n${framed}\r\n\r\n${body}`);
    if (end === "order") {
        socket.end();
        setTimeout(() => socket.destroy(), keepMilliseconds);
        return;
    }
    setTimeout(() => socket.resetAndDestroy(), leaveMilliseconds);
}

function createUploadConfiguration(): object {
    const configuration = createConfiguration(2) as {
        readonly routes: readonly object[];
        readonly limits: Readonly<Record<string, number>>;
    };
    return {
        ...configuration,
        routes: configuration.routes.map(route => ({ ...route, timeout_ms: timeoutMilliseconds })),
        limits: { ...configuration.limits, max_body_bytes: 2 * uploadBytes },
    };
}

// A runner answers a long upload before it has read it, sends a part of its answer and goes away.
describe("an answer that comes before its request is written", () => {
    const site = new PlatformSite("127.76.9");
    const runners = new EarlyRunners();
    let count = 0;
    let nodes: readonly SiteNode[] = [];

    before(async () => {
        await site.start(0);
        site.store.put("keyed.op", "config", createUploadConfiguration());
        for (let index = 1; index <= 3; index += 1) {
            await runners.listen(`${site.prefix}.${100 + index}`);
            site.register(`i-${index}`, { address: `${site.prefix}.${100 + index}:${runnerPort}` });
        }
        nodes = [site.startCuttableNode(1), site.startCuttableNode(2, "reset")];
        for (const node of nodes) {
            await site.waitForReady(node);
        }
        await site.waitForAddresses(nodes[0], 1);
    });
    after(async () => {
        await site.stop();
        runners.close();
    });

    async function send(node: SiteNode, route: string, { framing, end, status }: EarlyAnswer, bytes = uploadBytes) {
        count += 1;
        const id = `early-${count}`;
        const path = `/${route}/early-${framing}-${end}-${status}`;
        return await readFramed({ host: node.address, port: callerPort, path, id, pace: "quick", bodyBytes: bytes });
    }

    for (const route of ["call", "booking", "stream"]) {
        // Guards against a part of an answer that passes for whole since its connection ended as one without a length does.
        it(`is not whole if its connection ends meanwhile (${route})`, async () => {
            const wrong: string[] = [];
            for (const node of nodes) {
                for (const framing of ["none", "length", "chunks"] as const) {
                    for (const end of ["order", "reset"] as const) {
                        const answer = await send(node, route, { framing, end, status: successStatus });
                        if (answer.end === "whole" && answer.status === 200) {
                            wrong.push(`${framing}, ${end}, node ${nodes.indexOf(node) + 1}`);
                        }
                    }
                }
            }
            expect(wrong).toEqual([]);
        });
    }

    // Guards against the same for an upload that the kernels of both machines hold, so that it is written although nobody reads it.
    it("is not whole if its connection ends before its request is read", async () => {
        const answer = await send(
            nodes[0],
            "call",
            { framing: "none", end: "order", status: successStatus },
            heldBytes,
        );
        expect([answer.status, answer.end]).not.toEqual([200, "whole"]);
    });

    // Guards against an answer with a status that is none, which a caller takes for one of its own.
    it("is not passed on with a status outside of those of the protocol", async () => {
        const passedOn: number[] = [];
        for (const node of nodes) {
            for (const status of ["000", "001", "099", "101", "199", "600", "700", "999"]) {
                const answer = await send(node, "call", { framing: "length", end: "order", status }, 10);
                if (answer.status < 500 || answer.status > 504) {
                    passedOn.push(answer.status);
                }
            }
        }
        expect(passedOn).toEqual([]);
    });
});
