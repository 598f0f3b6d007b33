// A request that crashes its runners comes again, beside sound requests with the same path and other queries. See claim.txt.
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Client } from "../client.mjs";
import { findPort, Site, sleep } from "../site.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const soundTarget = process.env.SOUND_PATH ?? "/status/orders";
const crashTarget = "/status/orders?order=crashing";
const runnerCount = 4;
const runMilliseconds = 60_000;
const downMilliseconds = 2_000;
const contactMilliseconds = 3_000;
const repeatMilliseconds = 1_000;
const deadlineMilliseconds = 2_500;
const mostRetries = 3;

const site = new Site(new URL("record.txt", import.meta.url).pathname);
const program = new URL("../crashingRunner.mjs", import.meta.url).pathname;
const runners = [];
process.once("exit", () => runners.forEach(({ child }) => child?.kill("SIGKILL")));
let isStopping = false;

async function spawnRunner(runner) {
    runner.child = spawn(process.execPath, [program, runner.host, String(runner.port), runner.log], {
        env: { PATH: process.env.PATH, CRASHES_ON: hasTrouble ? "order=crashing" : "" }, stdio: ["ignore", "pipe", "inherit"],
    });
    const { child } = runner;
    runner.exited = new Promise(done => child.once("exit", done)).then(async () => {
        if (!isStopping) {
            runner.crashes += 1;
            site.record(`runner ${runner.id} has crashed`);
            await sleep(downMilliseconds);
            if (!isStopping) {
                await spawnRunner(runner);
            }
        }
    });
    await new Promise(done => child.stdout.once("data", done));
    site.register(runner.id, { service: "label-app", address: `${runner.host}:${runner.port}`, born: Date.now() });
}

async function startRunner(index) {
    const host = `127.91.0.${100 + index}`;
    const runner = { id: `i-${index}`, host, port: await findPort(host), log: join(site.folder, `runner-${index}.log`), crashes: 0 };
    writeFileSync(runner.log, "");
    runners.push(runner);
    await spawnRunner(runner);
}

const results = { sound: {}, unsafe: {}, crashing: {} };
let count = 0;

async function send(client, kind, method, path, body) {
    const id = `${kind}-${count += 1}`;
    const headers = { "Attempt-Id": id, "Deadline-Ms": deadlineMilliseconds, "Api-Key": "key" };
    const answer = await client.send({ method, path, headers, body, patience: deadlineMilliseconds + 500 });
    const result = answer.status ?? answer.closed;
    results[kind][result] = (results[kind][result] ?? 0) + 1;
}

async function repeat(node, end, milliseconds, run) {
    const client = new Client(node);
    for (let index = 0; Date.now() < end; index += 1) {
        await run(client, index);
        await sleep(milliseconds);
    }
    client.close();
}

function readLogs() {
    const lines = runners.flatMap(({ id, log }) => readFileSync(log, "utf8").split("\n").filter(line => line !== "").map(line => `${line} at ${id}`));
    return lines.map(line => ({ at: Number(line.split(" ")[0]), line })).sort((first, second) => first.at - second.at);
}

let code = 2;
try {
    const route = { host: "app.example", timeout_ms: 2_500, goal_ms: 193, priority: 2, service: "label-app", public: false };
    await site.start({
        version: 1,
        routes: [
            { ...route, name: "order-status", path_prefix: "/status/", route_kind: "idempotent", max_attempts: 2 },
            { ...route, name: "print-job", path_prefix: "/print/", route_kind: "non_idempotent", max_attempts: 1 },
        ],
        services: [{ name: "label-app", health_path: "/healthz", max_conns: 100 }],
        limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "tenant", api_keys: ["key"] }],
    });
    for (let index = 1; index <= runnerCount; index += 1) {
        await startRunner(index);
    }
    const nodes = [await site.startNode(1, 200), await site.startNode(2, 200)];
    if (await site.waitForReady(nodes[0]) && await site.waitForReady(nodes[1])) {
        const end = Date.now() + runMilliseconds;
        const clients = [];
        for (let index = 0; index < 8; index += 1) {
            const node = nodes[index % nodes.length];
            clients.push(repeat(node, end, 150, (client, number) =>
                send(client, "sound", "GET", `${soundTarget}?order=${index}-${number}`)));
            clients.push(repeat(node, end, 300, (client, number) =>
                send(client, "unsafe", "POST", `/print/${index}-${number}`, Buffer.from(`job ${index} ${number}`))));
        }
        await sleep(3_000);
        clients.push(repeat(nodes[0], end, 2 * repeatMilliseconds, client => send(client, "crashing", "GET", crashTarget)));
        await sleep(repeatMilliseconds);
        clients.push(repeat(nodes[1], end, 2 * repeatMilliseconds, client => send(client, "crashing", "GET", crashTarget)));
        await Promise.all(clients);
        const lines = readLogs();
        const crashes = lines.filter(({ line }) => line.includes(" crashes "));
        const boundAt = (crashes[2]?.at ?? Infinity) + contactMilliseconds;
        const retries = lines.filter(({ at, line }) => at > boundAt && line.includes(" runs ") && line.includes("order=crashing"));
        site.record(`crashes: ${crashes.length}, the third at ${crashes[2]?.at ?? "none"}`);
        for (const { line } of retries) {
            site.record(`later than contact_ms after it: ${line}`);
        }
        site.record(`end: answers ${JSON.stringify(results)}`);
        code = hasTrouble && retries.length > mostRetries ? 1 : 0;
        site.record(code === 1 ? `BUDGET is broken: ${retries.length} retries of the request reached runners` : "BUDGET holds");
    }
}
catch (error) {
    site.record(`could not run: ${error.stack}`);
}
isStopping = true;
for (const { child } of runners) {
    child.kill("SIGKILL");
}
await sleep(300);
await site.stop();
process.exit(code);
