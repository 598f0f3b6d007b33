import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { ManualClock, PresenceCheck, ReadProgress, systemClock } from "../../src/common/index.js";
import { waitUntil } from "../../src/testbench/index.js";
import { blockProcess } from "../fixtures/pauses.js";

/** Runs the turns of an event loop one by one. */
function createTurns() {
    const clock = new ManualClock();
    const turns: number[] = [];
    let scheduled: (() => void)[] = [];
    const progress = new ReadProgress({
        clock,
        onTurn: milliseconds => turns.push(milliseconds),
        schedule: run => scheduled.push(run),
    });
    const runTurn = async (milliseconds: number): Promise<void> => {
        clock.advance(milliseconds);
        const current = scheduled;
        scheduled = [];
        for (const run of current) {
            run();
        }
        await Promise.resolve();
    };
    return { progress, runTurn, turns, isIdle: () => scheduled.length === 0 };
}

describe("ReadProgress", () => {
    describe("getReadUntil", () => {
        it("is the time before two whole turns", async () => {
            const { progress, runTurn } = createTurns();
            void progress.catchUp();
            for (const milliseconds of [10, 20]) {
                await runTurn(milliseconds);
                expect(progress.getReadUntil()).toEqual(Number.NEGATIVE_INFINITY);
            }
            await runTurn(30);
            expect(progress.getReadUntil()).toEqual(10);
        });

        it("goes on with each turn while somebody waits", async () => {
            const { progress, runTurn, turns } = createTurns();
            for (const milliseconds of [10, 20, 30, 40, 50]) {
                void progress.catchUp();
                await runTurn(milliseconds);
            }
            expect([progress.getReadUntil(), turns]).toEqual([60, [20, 30, 40, 50]]);
        });

        // One connection is accepted in a turn. Guards against requests that count as recent while they wait behind others.
        it("stands still while connections are accepted turn after turn", async () => {
            const { progress, runTurn, isIdle } = createTurns();
            void progress.catchUp();
            for (let count = 0; count < 10; count += 1) {
                progress.addConnection();
                await runTurn(100);
            }
            expect([progress.getReadUntil(), isIdle()]).toEqual([Number.NEGATIVE_INFINITY, false]);
            await runTurn(100);
            await runTurn(100);
            expect([progress.getReadUntil(), isIdle()]).toEqual([1_000, true]);
        });

        // The turns of two observations have a gap between them, in which a process may have been paused.
        it("does not take the time between two observations for a turn", async () => {
            const { progress, runTurn, turns, isIdle } = createTurns();
            void progress.catchUp();
            for (let count = 0; count < 3; count += 1) {
                await runTurn(1);
            }
            expect(isIdle()).toEqual(true);
            void progress.catchUp();
            await runTurn(5_000);
            expect([progress.getReadUntil(), turns]).toEqual([1, [1, 1]]);
        });
    });

    describe("readArrived", () => {
        // Guards against a node that closes connections which it has not accepted yet.
        it("waits while connections are accepted turn after turn", async () => {
            const { progress, runTurn } = createTurns();
            let isRead = false;
            void progress.readArrived().then(() => isRead = true);
            for (let count = 0; count < 10; count += 1) {
                progress.addConnection();
                await runTurn(100);
            }
            expect(isRead).toEqual(false);
            for (let count = 0; count < 4; count += 1) {
                await runTurn(100);
            }
            expect(isRead).toEqual(true);
        });

        // Guards against a node that never stops, and idle connections that stay open, while callers connect in each turn.
        it("ends when everything was accepted that may have waited, though connections are accepted turn after turn", async () => {
            const { progress, runTurn } = createTurns();
            let isRead = false;
            void progress.readArrived().then(() => isRead = true);
            let accepted = 0;
            while (!isRead && accepted < 2_000) {
                progress.addConnection();
                accepted += 1;
                await runTurn(1);
            }
            expect([isRead, accepted >= 512]).toEqual([true, true]);
        });
    });

    describe("catchUp", () => {
        it("resolves after the first turn that begins after the call", async () => {
            const { progress, runTurn } = createTurns();
            const resolved: string[] = [];
            void progress.catchUp().then(() => resolved.push("first"));
            await runTurn(1);
            void progress.catchUp().then(() => resolved.push("second"));
            expect(resolved).toEqual([]);
            await runTurn(1);
            expect(resolved).toEqual(["first"]);
            await runTurn(1);
            expect(resolved).toEqual(["first", "second"]);
        });
    });

    describe("on real connections", () => {
        const servers: Server[] = [];
        afterEach(() => {
            for (const server of servers.splice(0)) {
                server.close();
            }
        });

        /** Starts a server that tells of each request whether its connection had ended, before and after `confirm`. */
        async function startServer() {
            const progress = new ReadProgress({ clock: systemClock });
            const ended = new Set<Socket>();
            const results: boolean[][] = [];
            const server = createServer(socket => {
                socket.on("end", () => ended.add(socket));
                socket.on("data", async () => {
                    const isKnown = ended.has(socket);
                    await new PresenceCheck(progress).confirm();
                    results.push([isKnown, ended.has(socket)]);
                });
            });
            server.on("connection", () => progress.addConnection());
            servers.push(server);
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const { port } = server.address() as AddressInfo;
            return { results, connectAll: () => Array.from({ length: 20 }, () => connect(port)) };
        }

        // Bytes and the end of a connection wait in the kernel while a process is busy. Guards against a request that is served for a
        // caller that left before it was read.
        it("knows of the end of a connection that was closed before its bytes were read", async () => {
            const { results, connectAll } = await startServer();
            const clients = connectAll();
            await Promise.all(clients.map(client => once(client, "connect")));
            await new Promise(resolve => setTimeout(resolve, 50));
            for (const client of clients) {
                client.end("request");
            }
            blockProcess(300);
            await waitUntil(() => results.length === clients.length, { description: "all requests" });
            expect(results).toEqual(clients.map(() => [false, true]));
        });

        // Connections that nobody has accepted yet wait as well, and are accepted one in a turn.
        it("knows of the ends of connections that had waited to be accepted", async () => {
            const { results, connectAll } = await startServer();
            const clients = connectAll();
            for (const client of clients) {
                client.on("connect", () => client.end("request"));
            }
            // The clients connect in a turn in which one connection is accepted.
            await new Promise(resolve => clients.at(-1)!.once("connect", resolve));
            blockProcess(300);
            await waitUntil(() => results.length === clients.length, { description: "all requests" });
            expect(results).toEqual(clients.map(() => [false, true]));
        });
    });
});
