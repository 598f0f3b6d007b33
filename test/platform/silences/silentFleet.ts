/**
 * A load on real processes while runners fall silent for a second or so and go on, shortly after changes of the configuration. No
 * process ends and no runner fails, so each request has to get a whole answer or a refusal.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/common/index.js";
import type { EventLine } from "../../../src/events/index.js";
import { createConfiguration, PlatformSite } from "../platformSite.js";
import { SlottedRunner } from "../standins/slottedRunner.js";
import { type ObservedAnswer, SilenceCallers } from "./silenceCallers.js";

const nodeCount = 8;
const runnerCount = 12;
const slots = 12;
const eventMilliseconds = 45;
const callMilliseconds = 40;
const changeMilliseconds = 3_000;
/** Time from a change of the configuration to the silence. */
const silenceDelayMilliseconds = 600;
const minSilenceMilliseconds = 1_000;
const maxSilenceMilliseconds = 1_700;
/** Share of the runners that are silent in every other silence; in the others, all are. */
const silentShare = 0.6;
const routeTimeoutMilliseconds = 12_000;
const changes = ["idle", "timeout", "route"] as const;

/** Options of a run. */
export interface SilentFleetOptions {
    readonly seed: number;
    /** First three bytes of a loopback block. */
    readonly prefix: string;
    readonly milliseconds: number;
    /** Streams that are open at once, over all nodes. */
    readonly streams: number;
    /** Whether streams have prompts. */
    readonly hasPrompts: boolean;
}

/** What a run has shown. */
export interface SilentFleetResult {
    readonly answers: readonly ObservedAnswer[];
    /** The lines of all nodes. */
    readonly events: readonly EventLine[];
    /** Changes and silences with the milliseconds since the start of the load. */
    readonly timeLine: readonly string[];
}

/** Runs the load. */
export async function runSilentFleet(options: SilentFleetOptions): Promise<SilentFleetResult> {
    const fleet = new SilentFleet(options);
    try {
        return await fleet.run();
    }
    finally {
        await fleet.stop();
    }
}

/** Returns the answers that are neither whole nor a refusal. */
export function findLost({ answers }: SilentFleetResult): readonly ObservedAnswer[] {
    return answers.filter(({ status, isWhole }) => status === undefined || !isWhole);
}

class SilentFleet {
    readonly #options: SilentFleetOptions;
    readonly #random: RandomSource;
    readonly #site: PlatformSite;
    readonly #runners: SlottedRunner[] = [];
    readonly #timeLine: string[] = [];
    #startedAt = 0;
    #version = 1;

    constructor(options: SilentFleetOptions) {
        this.#options = options;
        this.#random = new RandomSource(options.seed);
        this.#site = new PlatformSite(options.prefix);
    }

    async run(): Promise<SilentFleetResult> {
        await this.#start();
        const { seed, milliseconds, streams, hasPrompts } = this.#options;
        const addresses = this.#site.nodes.map(({ address }) => address);
        const callers = new SilenceCallers({ random: new RandomSource(seed + 1), addresses, hasPrompts });
        this.#startedAt = performance.now();
        callers.start(streams);
        while (performance.now() - this.#startedAt < milliseconds) {
            const next = sleep(changeMilliseconds);
            this.#change();
            await sleep(silenceDelayMilliseconds);
            this.#silence();
            await next;
        }
        await callers.stop();
        const events = this.#site.nodes.flatMap(node => node.events);
        return { answers: callers.observed, events, timeLine: this.#timeLine };
    }

    async stop(): Promise<void> {
        await this.#site.stop();
    }

    async #start(): Promise<void> {
        await this.#site.start(runnerCount);
        this.#change();
        for (const [id, runner] of this.#site.runners) {
            this.#runners.push(
                new SlottedRunner(runner, { slots, eventMilliseconds, callMilliseconds, getEventCount }),
            );
            this.#site.register(id, { slots });
        }
        for (let index = 1; index <= nodeCount; index += 1) {
            this.#site.startNode(index);
        }
        for (const node of this.#site.nodes) {
            await this.#site.waitForReady(node);
        }
    }

    #change(): void {
        const change = changes[this.#version % changes.length];
        this.#version += 1;
        this.#site.store.put("keyed.op", "config", createChangedConfiguration(this.#version));
        this.#record(`${change} changes`);
    }

    #silence(): void {
        const isWhole = this.#version % 2 === 0;
        const milliseconds = minSilenceMilliseconds
            + this.#random.nextInteger(maxSilenceMilliseconds - minSilenceMilliseconds);
        const silent = isWhole ? this.#runners : this.#draw(Math.round(silentShare * runnerCount));
        for (const runner of silent) {
            runner.silence(milliseconds);
        }
        this.#record(`${silent.length} runners are silent for ${milliseconds} ms`);
    }

    #draw(count: number): readonly SlottedRunner[] {
        const left = [...this.#runners];
        return Array.from({ length: count }, () => left.splice(this.#random.nextInteger(left.length), 1)[0]);
    }

    #record(text: string): void {
        if (this.#startedAt > 0) {
            this.#timeLine.push(`${Math.round(performance.now() - this.#startedAt)} ${text}`);
        }
    }
}

/** Returns the number of events of the stream of a path, which names it. */
export function getEventCount(target: string): number {
    return Number(target.split("/")[2]);
}

/** Creates the configuration of a version. The idle limit, the timeouts and the routes change in turn. */
function createChangedConfiguration(version: number): object {
    const configuration = createConfiguration(version) as {
        readonly routes: readonly { readonly name: string; }[];
        readonly limits: Readonly<Record<string, number>>;
    };
    const changed = (index: number): number => Math.floor((version + index) / changes.length);
    const routes = configuration.routes.map(route => ({
        ...route,
        timeout_ms: routeTimeoutMilliseconds + changed(1),
        max_attempts: route.name === "booking" ? 1 : 2,
    }));
    const added = { ...routes[0], name: `call-${changed(0)}`, path_prefix: `/added-${changed(0)}/` };
    const limits = { ...configuration.limits, idle_timeout_ms: 15_000 + changed(2) };
    return { ...configuration, routes: [...routes, added], limits };
}
