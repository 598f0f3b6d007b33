// Processes of the system are killed while they pass on streams without a length. See claim.txt.
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { join } from "node:path";
import { createEvent, eventCount } from "../unframedRunner.mjs";
import { findPort, Site, sleep } from "../site.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** Routes of the clients in turn: resumable with three attempts, as in the sheet, and not resumable. */
const prefixes = ["chat", "once"];
const runnerCount = 4;
/** As many machines as the sheet has; one of them is killed at a time. */
const nodeCount = 7;
const clientCount = 28;
const runMilliseconds = 40_000;
const deadlineMilliseconds = 20_000;
const crashEveryMilliseconds = 6_000;
const downMilliseconds = 2_000;

const site = new Site(new URL("record.txt", import.meta.url).pathname);
const program = new URL("../unframedRunner.mjs", import.meta.url).pathname;
const runners = [];
process.once("exit", () => runners.forEach(({ child }) => child?.kill("SIGKILL")));

async function spawnRunner(runner) {
    runner.child = spawn(process.execPath, [program, runner.host, runner.log, String(runner.port)], {
        env: { PATH: process.env.PATH }, stdio: ["ignore", "pipe", "inherit"],
    });
    runner.exited = new Promise(done => runner.child.once("exit", done));
    await new Promise(done => runner.child.stdout.once("data", done));
    site.register(runner.id, { service: "lm-pool", address: `${runner.host}:${runner.port}`, slots: 16, born: Date.now() });
}

async function startRunner(index) {
    const host = `127.91.0.${100 + index}`;
    const runner = { id: `i-${index}`, host, port: await findPort(host), log: join(site.folder, `runner-${index}.log`) };
    writeFileSync(runner.log, "");
    runners.push(runner);
    await spawnRunner(runner);
}

/** Sends one request and reads its stream until the connection ends. */
function send(node, prefix, id) {
    return new Promise(done => {
        let text = "";
        let error;
        const body = `question ${id}`;
        const socket = connect(node.ports.front, node.ip);
        const timer = setTimeout(() => socket.destroy(new Error("gave up")), deadlineMilliseconds + 500);
        socket.on("connect", () =>
            socket.write(`POST /${prefix}/${id} HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMilliseconds}\r\n`
                + `Api-Key: key\r\nContent-Length: ${body.length}\r\n\r\n${body}`));
        socket.on("data", data => {
            text += data.toString("latin1");
            if (/^transfer-encoding: *chunked/im.test(text.split("\r\n\r\n")[0]) && text.endsWith("\r\n0\r\n\r\n")) {
                socket.end();
            }
            const length = /^content-length: *(\d+)/im.exec(text.split("\r\n\r\n")[0])?.[1];
            if (length !== undefined && text.length >= text.indexOf("\r\n\r\n") + 4 + Number(length)) {
                socket.end();
            }
        });
        socket.on("error", cause => error = cause.code ?? cause.message);
        socket.on("close", () => {
            clearTimeout(timer);
            const end = text.indexOf("\r\n\r\n");
            const head = end < 0 ? "" : text.slice(0, end);
            const isChunked = /^transfer-encoding: *chunked/im.test(head);
            const raw = end < 0 ? "" : text.slice(end + 4);
            done({
                status: Number(head.slice(9, 12)), head, error,
                isComplete: error === undefined && (!isChunked || raw.endsWith("\r\n0\r\n\r\n")),
                stream: isChunked ? raw.replaceAll(/(?:^|\r\n)[0-9a-f]+\r\n/g, "").replace(/\r\n$/, "") : raw,
            });
        });
    });
}

const results = Object.fromEntries(prefixes.map(prefix => [prefix, { whole: 0, truncated: 0, brokenOff: 0, failed: 0 }]));
let count = 0;

async function runClient(node, prefix, end) {
    const result = results[prefix];
    while (Date.now() < end) {
        const id = `r-${count += 1}`;
        const { status, error, isComplete, stream } = await send(node, prefix, id);
        let whole = "";
        for (let number = 1; number <= eventCount; number += 1) {
            whole += createEvent(id, number);
        }
        const endsInsideEvent = !stream.endsWith("\n\n");
        if (status !== 200) {
            // The machine is down: clients turn to another one.
            result.failed += 1;
            await sleep(500);
        }
        else if (stream === whole && isComplete) {
            result.whole += 1;
        }
        else if (!isComplete || endsInsideEvent) {
            result.brokenOff += 1;
            site.record(`${prefix} ${id}: 200, broken off visibly (${error ?? "inside an event"}) after ${stream.split("\n\n").length - 1} events`);
        }
        else {
            result.truncated += 1;
            const ran = runners.flatMap(one => readFileSync(one.log, "utf8").split("\n").filter(line => line.includes(` ${id} `)).map(line => `${one.id} ${line}`));
            site.record(`${prefix} ${id}: 200, connection ended in order after event ${stream.split("\n\n").length - 1} of ${eventCount}; ${ran.join(", ")}`);
        }
        await sleep(50);
    }
}

/** Kills the process of one machine with SIGKILL and starts it again. */
async function crash(end) {
    for (let index = 0; Date.now() + crashEveryMilliseconds < end; index += 1) {
        await sleep(crashEveryMilliseconds - downMilliseconds);
        const node = site.nodes[index % site.nodes.length];
        site.record(`process of ${node.ip} is killed`);
        node.child.kill("SIGKILL");
        await node.exited;
        await sleep(downMilliseconds);
        site.spawnNode(node);
    }
}

let code = 2;
try {
    const route = {
        host: "app.example", route_kind: "streaming", timeout_ms: 20_000, goal_ms: 1_000, gap_goal_ms: 800, priority: 0,
        service: "lm-pool", max_attempts: 3, public: false,
    };
    await site.start({
        version: 1,
        routes: [
            { ...route, name: "chat", path_prefix: "/chat/", resumable: true },
            { ...route, name: "once", path_prefix: "/once/", resumable: false, max_attempts: 1 },
        ],
        services: [{ name: "lm-pool", health_path: "/healthz", max_conns: 360 }],
        limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "tenant", api_keys: ["key"] }],
    });
    for (let index = 1; index <= runnerCount; index += 1) {
        await startRunner(index);
    }
    const nodes = [];
    for (let index = 1; index <= nodeCount; index += 1) {
        nodes.push(await site.startNode(index, 200));
    }
    if ((await Promise.all(nodes.map(node => site.waitForReady(node)))).every(isReady => isReady)) {
        const end = Date.now() + runMilliseconds;
        const clients = Array.from({ length: clientCount }, (_, index) => runClient(nodes[index % nodes.length], prefixes[index % prefixes.length], end));
        await Promise.all([...clients, ...hasTrouble ? [crash(end)] : []]);
        site.record(`end: ${JSON.stringify(results)}`);
        code = Object.values(results).some(({ truncated }) => truncated > 0) ? 1 : 0;
        site.record(code === 1 ? "ORDER is broken: a stream ended as complete before its last event" : "ORDER holds");
    }
}
catch (error) {
    site.record(`could not run: ${error.stack}`);
}
for (const { child, exited } of runners) {
    child.kill("SIGKILL");
    await exited;
}
await site.stop();
process.exit(code);
