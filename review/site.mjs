// A small site: the project's own nodes as separate processes, started with the command of the deploy file, and the store here.
import { spawn } from "node:child_process";
import { createServer } from "node:net";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "..");
const command = /^run = "node (.*)"/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ");
const template = readFileSync(join(root, "deploy/settings.ini"), "utf8");

/** Bounds of the sheet of dalisay-labels. */
const bounds = {
    config_apply_ms: 2000, revoke_ms: 5000, drain_ms: 2000, grace_s: 8, retry_budget_ratio: 0.9, budget_window_s: 10,
    budget_extra: 54, exposure_share: 0.15, exposure_slack: 30, session_s: 5, ttl_max_s: 5,
};

export const sleep = milliseconds => new Promise(done => setTimeout(done, milliseconds));

export async function findPort(host) {
    return new Promise((done, fail) => {
        const server = createServer().once("error", fail).listen(0, host, () => {
            const { port } = server.address();
            server.close(() => done(port));
        });
    });
}

export class Site {
    store = new Store();
    nodes = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));
    #storeAddress;
    #lines = [];
    #startedAt = Date.now();

    constructor(recordFile) {
        this.recordFile = recordFile;
        // No process may outlive a script that ends by an error.
        process.once("exit", () => this.nodes.forEach(({ child }) => child.kill("SIGKILL")));
    }

    /** Adds a line to the record. */
    record(text) {
        this.#lines.push(`${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${text}`);
        writeFileSync(this.recordFile, `${this.#lines.join("\n")}\n`);
    }

    async start(configuration) {
        const port = await this.store.listen("127.91.0.200", 0);
        this.#storeAddress = `127.91.0.200:${port}`;
        this.store.put("keyed.op", "config", configuration);
    }

    register(id, fields) {
        this.store.put("keyed.servers", id, {
            zone: "north", version: "v1", slots: 6, state: "ready", seq_no: 1, cold_left_ms: 0, born: this.#startedAt, ...fields,
        });
    }

    async startNode(index, memoryMegabytes, storeAddress = this.#storeAddress) {
        const ip = `127.91.0.${index}`;
        const names = ["front", "ready", "control", "directory", "metrics"];
        const ports = Object.fromEntries(await Promise.all(names.map(async name => [name, await findPort(ip)])));
        const values = {
            "node_name": `node-${index}`, ip, "zone": "north", "region": "south",
            "port_range.0": ports.metrics, "seeds": "", "platform.address": storeAddress,
            "limits.memory_mb": memoryMegabytes,
        };
        for (const name of names.slice(0, 4)) {
            values[`listen.${name}`] = `${ip}:${ports[name]}`;
        }
        const settings = template.replaceAll(/\{\{([a-z0-9_.]+)\}\}/g, (_, name) =>
            String(values[name] ?? bounds[name.replace("bounds.", "")] ?? ""));
        const file = join(this.folder, `node-${index}.ini`);
        writeFileSync(file, settings);
        const args = command.map(word => word.replace("{{listen.front}}", `${ip}:${ports.front}`));
        const node = { ip, ports, file, args, log: [], starts: 0 };
        this.nodes.push(node);
        this.spawnNode(node);
        return node;
    }

    spawnNode(node) {
        node.child = spawn(process.execPath, node.args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, RATTANLOCK_BOOT: node.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        node.starts += 1;
        for (const stream of [node.child.stdout, node.child.stderr]) {
            let rest = "";
            stream.on("data", data => {
                const lines = (rest + data).split("\n");
                rest = lines.pop();
                node.log.push(...lines);
            });
        }
        const { child } = node;
        node.exited = new Promise(done => child.once("exit", (code, signal) => {
            node.exit = signal ?? code;
            done(node.exit);
        }));
    }

    async waitForReady(node, milliseconds = 15_000) {
        for (const end = Date.now() + milliseconds; Date.now() < end; await sleep(50)) {
            try {
                const answer = await fetch(`http://${node.ip}:${node.ports.ready}/v1/readyz`);
                if (answer.status === 200) {
                    return true;
                }
            }
            catch {
                // It does not listen yet.
            }
        }
        return false;
    }

    async stop() {
        for (const node of this.nodes) {
            if (node.child.exitCode === null && node.child.signalCode === null) {
                node.child.kill("SIGKILL");
                await node.exited;
            }
        }
        this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
    }
}
