import { expect } from "earl";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../src/testbench/index.js";
import { callerPort, PlatformSite, type SiteNode } from "./platformSite.js";

/** Bytes of a request that does not arrive in one piece with the end of its caller's interest. */
const bodyBytes = 20_000;
/** Callers in one pause of the node. */
const callers = 40;
/** How long a caller waits for a node that does not read its request. */
const patienceMilliseconds = 300;
/** How long the node reads nothing. */
const pauseMilliseconds = 1_000;

/** Sends a request on a new connection and closes it before the node has read anything. Returns the connection. */
async function sendAndLeave(node: SiteNode, path: string, body = "hello"): Promise<Socket> {
    const socket = connect(callerPort, node.address);
    // The end is read, so that the connection closes once the node has closed its side.
    socket.resume();
    socket.on("error", () => {
        // The node may reset the connection of a caller that has left.
    });
    await once(socket, "connect");
    socket.write([
        `POST ${path} HTTP/1.1`,
        "Host: app.example",
        `Attempt-Id: ${path}`,
        "Deadline-Ms: 3000",
        "Api-Key: key",
        `Content-Length: ${body.length}`,
        "",
        body,
    ].join("\r\n"));
    await sleep(patienceMilliseconds);
    return socket.end();
}

// A node is paused for a second. Its callers give up meanwhile and close their connections, so that requests and closings are read
// together.
describe("callers that left before their requests were read", () => {
    const site = new PlatformSite("127.72.66");
    after(() => site.stop());
    before(async () => {
        await site.start(2);
        await site.waitForReady(site.startNode(1));
        // A request that has to wait for a connection to its upstream is cancelled meanwhile.
        await Promise.all(Array.from({ length: callers }, () => site.send(site.nodes[0])));
    });

    function countReceived(path: string): number {
        return [...site.runners.values()].flatMap(({ received }) => received)
            .filter(({ target }) => target.startsWith(path)).length;
    }

    for (const route of ["call", "booking", "stream"]) {
        // Guards against upstreams that work for callers that have left.
        it(`have none of them sent on (${route})`, async () => {
            const [node] = site.nodes;
            const path = `/${route}/gone-`;
            node.child.kill("SIGSTOP");
            const sent = Array.from({ length: callers }, (...[, index]) => sendAndLeave(node, `${path}${index}`));
            const sockets = await Promise.all(sent);
            await sleep(pauseMilliseconds - patienceMilliseconds);
            node.child.kill("SIGCONT");
            await waitUntil(() => sockets.every(({ closed }) => closed), { description: "closed connections" });
            await site.send(node);
            const routed = node.events.filter(({ name, request }) =>
                name === "request-routed" && String(request).startsWith(path)
            );
            expect([countReceived(path), routed.length]).toEqual([0, 0]);
        });
    }

    // Guards against a live caller that waits, or is refused, since others have left.
    it("do not keep a node from serving those who have stayed", async () => {
        const [node] = site.nodes;
        node.child.kill("SIGSTOP");
        const answers = Array.from(
            { length: callers },
            (...[, index]) => site.send(node, { path: `/call/stays-${index}` }),
        );
        await sleep(pauseMilliseconds);
        node.child.kill("SIGCONT");
        const statuses = (await Promise.all(answers)).map(({ status }) => status);
        expect(statuses).toEqual(statuses.map(() => 200));
    });
});

// A node reaches no upstream, and another one forwards its requests. That one is paused while the callers leave.
describe("callers that left while their requests were on the way to another node", () => {
    const site = new PlatformSite("127.72.67");
    after(() => site.stop());
    before(async () => {
        await site.start(2);
        await site.waitForReady(site.startCuttableNode(1, "reset"));
        await site.waitForReady(site.startNode(2));
        await site.waitForAddresses(site.nodes[0], 2);
        // Requests are forwarded once the first node knows that it reaches no upstream and that the other one does.
        await waitUntil(async () => (await site.send(site.nodes[0])).status === 200, { description: "forwarding" });
        await Promise.all(Array.from({ length: callers }, () => site.send(site.nodes[0])));
    });

    // Guards against upstreams that work for callers that have left.
    it("have none of them sent on", async () => {
        const [node, forwarding] = site.nodes;
        forwarding.child.kill("SIGSTOP");
        const path = "/call/relayed-";
        const body = "x".repeat(bodyBytes);
        const sent = Array.from({ length: callers }, (...[, index]) => sendAndLeave(node, `${path}${index}`, body));
        const sockets = await Promise.all(sent);
        await waitUntil(() => sockets.every(({ closed }) => closed), { description: "closed connections" });
        await sleep(pauseMilliseconds - patienceMilliseconds);
        forwarding.child.kill("SIGCONT");
        await waitUntil(async () => (await site.send(node)).status === 200, { description: "forwarding" });
        const received = [...site.runners.values()].flatMap(runner => runner.received);
        expect(received.filter(({ target }) => target.startsWith(path)).length).toEqual(0);
    });
});
