/**
 * A load on real processes while runners fall silent for a second or so and go on, shortly after changes of the configuration. No
 * process ends and no runner fails, so each request has to get a whole answer or a refusal.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/common/index.js";
import type { EventLine } from "../../../src/events/index.js";
import { PlatformSite } from "../platformSite.js";
import { SlottedRunner } from "../standins/slottedRunner.js";
import { type ObservedAnswer, SilenceCallers } from "./silenceCallers.js";
import { changes, createChangedConfiguration, createRunnerRecord, createWork } from "./silentSite.js";

/** Time from a change of the configuration to the silence. */
const silenceDelayMilliseconds = 600;
/** Share of the runners that are silent in every other silence; in the others, all are. */
const silentShare = 0.6;
/** Longer than any run. */
const endlessMilliseconds = 3_600_000;

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
    /** What differs from `defaultLoad`. */
    readonly load?: Partial<SilentLoad> | undefined;
}

/** The site, its load and its silences. */
export interface SilentLoad {
    readonly nodes: number;
    readonly runners: number;
    readonly slots: number;
    /** Whether runners have several models, of which the nodes choose. */
    readonly hasModels: boolean;
    /** Short streams that are open at once, beside the others. */
    readonly tags: number;
    /** Callers that ask for paths and with keys that no configuration has. */
    readonly strangers: number;
    readonly maxAttempts: number;
    readonly deadlineMilliseconds: number;
    readonly callTimeoutMilliseconds: number;
    /** Time between the changes of the configuration, each of which a silence follows. */
    readonly changeMilliseconds: number;
    readonly minSilenceMilliseconds: number;
    readonly maxSilenceMilliseconds: number;
    /** Runners that do not go on after the first silence. */
    readonly endlesslySilent: number;
    /** Bounds of the site that differ from the usual ones, by their names in the settings. */
    readonly bounds: Readonly<Record<string, number>>;
}

/** Load of a pool without models. */
export const defaultLoad: SilentLoad = {
    nodes: 8,
    runners: 12,
    slots: 12,
    hasModels: false,
    tags: 0,
    strangers: 0,
    maxAttempts: 2,
    deadlineMilliseconds: 11_000,
    callTimeoutMilliseconds: 12_000,
    changeMilliseconds: 3_000,
    minSilenceMilliseconds: 1_000,
    maxSilenceMilliseconds: 1_700,
    endlesslySilent: 0,
    bounds: {},
};

/** Load of a pool that answers in a cascade of models, with short streams and impatient calls beside the long streams. */
export const cascadeLoad: SilentLoad = {
    ...defaultLoad,
    hasModels: true,
    tags: 30,
    strangers: 2,
    maxAttempts: 3,
    deadlineMilliseconds: 20_000,
    callTimeoutMilliseconds: 800,
    maxSilenceMilliseconds: 1_300,
};

/** What a run has shown. */
export interface SilentFleetResult {
    readonly answers: readonly ObservedAnswer[];
    /** The lines of all nodes. */
    readonly events: readonly EventLine[];
    /** Changes and silences with the milliseconds since the start of the load. */
    readonly timeLine: readonly string[];
    /** Unix times at which silences began. */
    readonly silences: readonly number[];
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

/** Returns the streams that were refused. */
export function findRefusedStreams({ answers }: SilentFleetResult): readonly ObservedAnswer[] {
    return answers.filter(({ id, status, isWhole }) => id.startsWith("stream-") && isWhole && status !== 200);
}

/** Describes answers, each with what the nodes wrote of its request. */
export function describeAnswers({ events }: SilentFleetResult, answers: readonly ObservedAnswer[]): readonly string[] {
    return answers.flatMap(({ id, path, status, reason }) => [
        `${id} ${path} ${status} ${reason}`,
        ...events.filter(({ request }) => request === id).map(event => JSON.stringify(event)),
    ]);
}

class SilentFleet {
    readonly #options: SilentFleetOptions;
    readonly #load: SilentLoad;
    readonly #random: RandomSource;
    readonly #site: PlatformSite;
    readonly #runners: SlottedRunner[] = [];
    readonly #timeLine: string[] = [];
    readonly #silences: number[] = [];
    #startedAt = 0;
    #version = 1;

    constructor(options: SilentFleetOptions) {
        this.#options = options;
        this.#load = { ...defaultLoad, ...options.load };
        this.#random = new RandomSource(options.seed);
        this.#site = new PlatformSite(options.prefix, this.#load.bounds);
    }

    async run(): Promise<SilentFleetResult> {
        await this.#start();
        const { seed, milliseconds, streams, hasPrompts } = this.#options;
        const { hasModels, tags, strangers, deadlineMilliseconds, changeMilliseconds } = this.#load;
        const addresses = this.#site.nodes.map(({ address }) => address);
        const callers = new SilenceCallers({
            random: new RandomSource(seed + 1),
            addresses,
            hasPrompts,
            hasModels,
            deadlineMilliseconds,
        });
        this.#startedAt = performance.now();
        callers.start({ streams, tags, strangers });
        while (performance.now() - this.#startedAt < milliseconds) {
            const next = sleep(changeMilliseconds);
            this.#change();
            await sleep(silenceDelayMilliseconds);
            this.#silence();
            await next;
        }
        await callers.stop();
        const events = this.#site.nodes.flatMap(node => node.events);
        return { answers: callers.observed, events, timeLine: this.#timeLine, silences: this.#silences };
    }

    async stop(): Promise<void> {
        for (const runner of this.#runners) {
            runner.close();
        }
        await this.#site.stop();
    }

    async #start(): Promise<void> {
        await this.#site.start(this.#load.runners);
        this.#change();
        for (const [id, runner] of this.#site.runners) {
            this.#runners.push(new SlottedRunner(runner, createWork(this.#load)));
            this.#site.register(id, createRunnerRecord(this.#load));
        }
        for (let index = 1; index <= this.#load.nodes; index += 1) {
            this.#site.startNode(index);
        }
        for (const node of this.#site.nodes) {
            await this.#site.waitForReady(node);
        }
    }

    #change(): void {
        const change = changes[this.#version % changes.length];
        this.#version += 1;
        this.#site.store.put("keyed.op", "config", createChangedConfiguration(this.#version, this.#load));
        this.#record(`${change} changes`);
    }

    #silence(): void {
        const { minSilenceMilliseconds, maxSilenceMilliseconds, endlesslySilent } = this.#load;
        const isWhole = this.#version % 2 === 0;
        const milliseconds = minSilenceMilliseconds
            + this.#random.nextInteger(maxSilenceMilliseconds - minSilenceMilliseconds);
        const silent = isWhole ? this.#runners : this.#draw(Math.round(silentShare * this.#runners.length));
        for (const runner of silent) {
            runner.silence(milliseconds);
        }
        for (const runner of this.#runners.slice(0, endlesslySilent)) {
            runner.silence(endlessMilliseconds);
        }
        this.#silences.push(Date.now());
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
