/** The site of the load of silent runners: its routes, their changes, and how its runners work. */
import { createConfiguration } from "../platformSite.js";
import type { ReceivedRequest } from "../standins/runnerStandin.js";
import type { SlottedWork } from "../standins/slottedRunner.js";

/** What a change of the configuration changes, in turn. */
export const changes = ["idle", "timeout", "route"] as const;

/** Models of a pool that answers in a cascade, smallest first, with the factor by which their events take longer. */
const paces: Readonly<Record<string, number>> = { small: 0.3, middle: 0.8, large: 1.5 };
const models = Object.keys(paces);
const largestConfidence = 95;
const confidences = 101;
/** Priorities of the routes, the most urgent first. */
const priorities: Readonly<Record<string, number>> = { stream: 0, tag: 2 };
/** Events of each stream of the route `tag`. */
export const tagEvents = 4;
const eventMilliseconds = 45;
const callMilliseconds = 40;
/** Time by which a route waits longer than its callers. */
const spareMilliseconds = 1_000;

/** What differs between sites. */
export interface SilentSiteOptions {
    /** Slots of a runner. */
    readonly slots: number;
    /** Whether runners have several models, of which the nodes choose. */
    readonly hasModels: boolean;
    /** Number of runners to which a stream may be sent. */
    readonly maxAttempts: number;
    /** Time for which callers wait for a stream. */
    readonly deadlineMilliseconds: number;
    /** Timeout of calls. */
    readonly callTimeoutMilliseconds: number;
}

/** Returns how the runners of a site work. */
export function createWork({ slots, hasModels }: SilentSiteOptions): SlottedWork {
    const work = { slots, eventMilliseconds, callMilliseconds, getEventCount };
    return hasModels ? { ...work, getPace: model => paces[model] ?? 1, getConfidence } : work;
}

/** Returns what the record of a runner states of a site. */
export function createRunnerRecord({ slots, hasModels }: SilentSiteOptions): Readonly<Record<string, unknown>> {
    return { slots, models: hasModels ? models.map(name => ({ name, version: 1 })) : [] };
}

/** Creates the configuration of a version. The idle limit, the timeouts and the routes change in turn. */
export function createChangedConfiguration(version: number, options: SilentSiteOptions): object {
    const configuration = createConfiguration(version) as {
        readonly routes: readonly { readonly name: string; }[];
        readonly services: readonly object[];
        readonly limits: Readonly<Record<string, number>>;
    };
    const changed = (index: number): number => Math.floor((version + index) / changes.length);
    const [call, booking, stream] = configuration.routes;
    const plain = { timeout_ms: options.callTimeoutMilliseconds + changed(1) };
    const streaming = {
        timeout_ms: options.deadlineMilliseconds + spareMilliseconds + changed(1),
        max_attempts: options.maxAttempts,
        ...(options.hasModels ? { sizes: models } : {}),
    };
    const routes = [
        { ...call, ...plain },
        { ...booking, ...plain },
        { ...stream, ...streaming, priority: priorities.stream },
        { ...stream, ...streaming, name: "tag", path_prefix: "/tag/", priority: priorities.tag },
    ];
    const added = { ...routes[0], name: `call-${changed(0)}`, path_prefix: `/added-${changed(0)}/` };
    const engine = { models: models.map((name, index) => ({ name, cost: index + 1 })) };
    return {
        ...configuration,
        routes: [...routes, added],
        services: configuration.services.map(service => options.hasModels ? { ...service, engine } : service),
        limits: { ...configuration.limits, idle_timeout_ms: 15_000 + changed(2) },
    };
}

/** Returns the number of events of the stream of a path, which names it; undefined for a path of calls. */
export function getEventCount(target: string): number | undefined {
    const [, kind, count] = target.split("/");
    return kind === "stream" || kind === "tag" ? Number(count) : undefined;
}

/** Returns a confidence that depends on the request alone. The largest model is always sure. */
function getConfidence({ headers }: ReceivedRequest, model: string): number {
    if (model === models.at(-1)) {
        return largestConfidence;
    }
    let sum = 0;
    for (const character of String(headers["attempt-id"])) {
        sum = (sum * 31 + character.charCodeAt(0)) % 65_521;
    }
    return sum % confidences;
}
