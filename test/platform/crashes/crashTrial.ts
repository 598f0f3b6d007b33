/**
 * Real nodes before runners that end under all prompts with a certain part, beside sound prompts that share their first part.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/common/index.js";
import type { EventLine } from "../../../src/events/index.js";
import { PlatformSite } from "../platformSite.js";
import { createStormConfiguration } from "../stormSite.js";
import { type DownState, EndingRunner, type EndMoment, type RunnerArrival } from "./endingRunner.js";

const runnerPort = 7_020;
const crashingPart = "dead";
const firstPart = "f1257";
const subjects = 6;
const tokensPerPart = 100;
const contactMilliseconds = 3_000;
/** Crashes after which all nodes have to know the part. */
const decisiveCrashes = 5;
const soundEvents = 20;
const bounds = { retry_budget_ratio: 0.9, budget_extra: 52 };
const models = ["small", "middle", "large"];

/** What is done to the nodes meanwhile. */
export type NodeTrouble = "none" | "killed-in-turn" | "paused-in-turn" | "all-killed";

/** Options of a trial. */
export interface CrashTrialOptions {
    readonly prefix: string;
    readonly end: EndMoment;
    readonly down: DownState;
    readonly downMilliseconds?: number;
    readonly milliseconds: number;
    readonly seed?: number;
    readonly nodes?: number;
    readonly runners?: number;
    readonly hasModels?: boolean;
    readonly trouble?: NodeTrouble;
    readonly soundPerSecond?: number;
    /** 0 for a trial without such prompts. */
    readonly crashingPerSecond?: number;
    /** Whether callers whose requests were refused or broken off send them again. */
    readonly doCallersReturn?: boolean;
    /** Times at which half of the runners end for no request's fault. */
    readonly outages?: readonly number[];
    /** Times at which half of the runners fall silent, and for how long. */
    readonly silences?: readonly number[];
    readonly silenceMilliseconds?: number;
    /** Times at which the connections of half of the runners are reset. */
    readonly resets?: readonly number[];
    /** Times at which a runner ends alone, one after the other, for no request's fault. */
    readonly restarts?: readonly number[];
}

/** What came of a sound request. */
export interface SoundAnswer {
    readonly at: number;
    readonly status: number | undefined;
    readonly isWhole: boolean;
}

/** Result of a trial. */
export interface CrashTrialResult {
    /** Runners that prompts with the part have ended. */
    readonly ended: number;
    /** Requests with the part that reached runners too late, by nodes to which nothing was done. */
    readonly late: number;
    readonly sound: readonly SoundAnswer[];
    readonly whole: number;
    /** Sound requests that were refused since they, or parts of them, were taken for a cause of crashes. */
    readonly quarantinedSound: number;
    readonly lines: readonly EventLine[];
}

interface Outage {
    readonly node: number;
    readonly from: number;
    readonly until: number;
}

/** Runs one trial. */
export class CrashTrial {
    readonly #options: CrashTrialOptions;
    readonly #site: PlatformSite;
    readonly #random: RandomSource;
    readonly #runners = new Map<string, EndingRunner>();
    readonly #arrivals: RunnerArrival[] = [];
    readonly #crashes: number[] = [];
    readonly #sound: SoundAnswer[] = [];
    readonly #outages: Outage[] = [];
    readonly #lines: EventLine[] = [];
    #quarantinedSound = 0;
    #count = 0;
    #isOver = false;

    constructor(options: CrashTrialOptions) {
        this.#options = options;
        this.#site = new PlatformSite(options.prefix, bounds);
        this.#random = new RandomSource(options.seed ?? 1);
    }

    /** Plays the trial and stops all of its processes. */
    async run(): Promise<CrashTrialResult> {
        try {
            await this.#start();
            await this.#play();
            return this.#createResult();
        }
        finally {
            this.#isOver = true;
            for (const runner of this.#runners.values()) {
                runner.close();
            }
            await this.#site.stop();
        }
    }

    async #start(): Promise<void> {
        const { nodes = 6, runners = 12, hasModels = true, prefix } = this.#options;
        await this.#site.start(0);
        this.#site.store.put("keyed.op", "config", createStormConfiguration(hasModels));
        for (let index = 1; index <= runners; index += 1) {
            const id = `i-${index}`;
            const runner = this.#createRunner(id, index);
            await runner.listen(`${prefix}.${100 + index}`, runnerPort);
            this.#runners.set(id, runner);
            this.#register(id, index);
        }
        for (let index = 1; index <= nodes; index += 1) {
            await this.#site.waitForReady(this.#site.startNode(index));
        }
        for (const node of this.#site.nodes) {
            await this.#site.waitForAddresses(node, nodes);
        }
    }

    #createRunner(id: string, index: number): EndingRunner {
        const { end, down, downMilliseconds = contactMilliseconds } = this.#options;
        return new EndingRunner({
            isCrashing: headers => String(headers["prompt-prefix"] ?? "").includes(crashingPart),
            end,
            down,
            downMilliseconds,
            onArrival: arrival => this.#arrivals.push(arrival),
            onEnd: request => {
                if (request !== undefined) {
                    this.#crashes.push(Date.now());
                }
            },
            onBack: () => this.#register(id, index),
        });
    }

    #register(id: string, index: number): void {
        const { prefix, hasModels = true } = this.#options;
        this.#site.store.put("keyed.servers", id, {
            service: "pool",
            address: `${prefix}.${100 + index}:${runnerPort}`,
            zone: "north",
            version: "v1",
            slots: 64,
            state: "ready",
            seq_no: 1,
            cold_left_ms: 0,
            born: this.#runners.get(id)!.startedAt,
            models: hasModels ? models.map(name => ({ name, version: 1 })) : [],
        });
    }

    async #play(): Promise<void> {
        const { milliseconds, soundPerSecond = 30, crashingPerSecond = 3 } = this.#options;
        const until = Date.now() + milliseconds;
        const parts = [
            this.#sendAtRate(soundPerSecond, until, () => this.#sendSound()),
            this.#troubleNodes(until),
            ...(this.#options.outages ?? []).map(at => this.#troubleHalf(at, runner => runner.end())),
            ...(this.#options.silences ?? []).map(at =>
                this.#troubleHalf(at, runner => runner.silence(this.#options.silenceMilliseconds ?? 1_000))
            ),
            ...(this.#options.resets ?? []).map(at => this.#troubleHalf(at, runner => runner.resetConnections())),
            ...(this.#options.restarts ?? []).map((at, index) => this.#endOne(at, index)),
        ];
        if (crashingPerSecond > 0) {
            parts.push(sleep(2_000).then(() => this.#sendAtRate(crashingPerSecond, until, () => this.#sendCrashing())));
        }
        await Promise.all(parts);
        // Answers that have begun go on for a second.
        await sleep(2_000);
    }

    async #sendAtRate(perSecond: number, until: number, send: () => Promise<void>): Promise<void> {
        while (Date.now() < until) {
            void send();
            await sleep(this.#random.nextExponential(1_000 / perSecond));
        }
    }

    async #troubleHalf(at: number, trouble: (runner: EndingRunner) => void): Promise<void> {
        await sleep(at);
        for (const runner of this.#runners.values()) {
            if (this.#random.next() < 0.5) {
                trouble(runner);
            }
        }
    }

    async #endOne(at: number, index: number): Promise<void> {
        await sleep(at);
        [...this.#runners.values()][index % this.#runners.size].end();
    }

    async #sendCrashing(): Promise<void> {
        this.#count += 1;
        await this.#send([firstPart, crashingPart, `c${this.#count}`], "crashing");
    }

    async #sendSound(): Promise<void> {
        this.#count += 1;
        const parts = [firstPart, `b${this.#count % subjects}`, `c${this.#count}`];
        const at = Date.now();
        for (let attempt = 1; attempt <= (this.#options.doCallersReturn === true ? 3 : 1); attempt += 1) {
            const answer = await this.#send(parts, "sound");
            const isWhole = answer?.body.includes(`id: ${soundEvents}\n`) === true && answer.status === 200;
            this.#sound.push({ at, status: answer?.status, isWhole });
            this.#quarantinedSound += answer?.body.includes("crashed the upstreams") === true ? 1 : 0;
            if (isWhole || this.#isOver) {
                return;
            }
        }
    }

    async #send(parts: readonly string[], kind: string) {
        const { nodes } = this.#site;
        const index = this.#random.nextInteger(nodes.length);
        this.#count += 1;
        try {
            return await this.#site.send(nodes[index], {
                path: "/stream/1",
                body: parts.join(" "),
                headers: {
                    "attempt-id": `${kind}-${this.#count}-node-${index}`,
                    "deadline-ms": "20000",
                    "model": this.#options.hasModels === false ? "m" : "*",
                    "token-count": `${parts.length * tokensPerPart},20`,
                    "prompt-prefix": parts.map(part => `${part}:${tokensPerPart}`).join(","),
                },
            });
        }
        catch {
            // The answer was broken off, or the node is down.
            return undefined;
        }
    }

    async #troubleNodes(until: number): Promise<void> {
        const { trouble = "none" } = this.#options;
        for (let turn = 0; trouble !== "none" && Date.now() < until - 2_000; turn += 1) {
            await sleep(trouble === "all-killed" ? 7_000 : 1_500);
            const count = this.#site.nodes.length;
            const indexes = trouble === "all-killed"
                ? Array.from({ length: count }, (_, index) => index)
                : [turn % count];
            await Promise.all(
                indexes.map(index => trouble === "paused-in-turn" ? this.#pause(index) : this.#kill(index)),
            );
        }
    }

    async #pause(index: number): Promise<void> {
        const from = Date.now();
        const { child } = this.#site.nodes[index];
        child.kill("SIGSTOP");
        await sleep(1_200);
        child.kill("SIGCONT");
        this.#outages.push({ node: index, from, until: Date.now() });
    }

    async #kill(index: number): Promise<void> {
        const from = Date.now();
        const node = this.#site.nodes[index];
        this.#lines.push(...node.events);
        node.child.kill("SIGKILL");
        await node.exited;
        await this.#site.waitForReady(this.#site.startNode(index + 1));
        this.#outages.push({ node: index, from, until: Date.now() });
    }

    #createResult(): CrashTrialResult {
        const lateAt = (this.#crashes[decisiveCrashes - 1] ?? Number.POSITIVE_INFINITY) + contactMilliseconds;
        const late = this.#arrivals.filter(arrival =>
            arrival.isCrashing && arrival.at > lateAt && !this.#isExcused(arrival)
        );
        for (const node of this.#site.nodes) {
            this.#lines.push(...node.events);
        }
        return {
            ended: this.#crashes.length,
            late: late.length,
            sound: this.#sound,
            whole: this.#sound.filter(({ isWhole }) => isWhole).length,
            quarantinedSound: this.#quarantinedSound,
            lines: this.#lines,
        };
    }

    /** Returns whether a request came from a node that was not in touch for the contact time. */
    #isExcused({ at, request }: RunnerArrival): boolean {
        const node = Number(request.split("-").at(-1));
        return this.#outages.some(outage =>
            outage.node === node && outage.from < at && outage.until > at - contactMilliseconds
        );
    }
}
