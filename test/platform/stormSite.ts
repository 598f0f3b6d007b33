/**
 * The site of a storm: its routes, its models and the requests that ask for them.
 */
import { createConfiguration } from "./platformSite.js";

export const runnerCount = 6;
/** Number of runners to which a request may be sent. */
export const maxAttempts = 4;
/** Time for which callers wait for a prompt, and the timeout of its route. */
export const longDeadlineMilliseconds = 20_000;
const models = ["small", "middle", "large"];
const tokens = { prompt: 400, output: 40 };

interface RouteRecord {
    readonly name: string;
}

/** A site of nodes that choose among several models, and the bounds in its settings. */
export const siteWithModels = {
    nodeCount: 6,
    hasModels: true,
    allowance: { ratio: 0.9, extra: 52 },
    bounds: { retry_budget_ratio: 0.9, budget_extra: 52 },
} as const;

/** Creates what the record of a runner with several models states. */
export function createStormRecord(): Readonly<Record<string, unknown>> {
    return { models: models.map(name => ({ name, version: 1 })) };
}

/** Creates a configuration in which calls and streams may be sent to several runners. */
export function createStormConfiguration(hasModels: boolean): object {
    const configuration = createConfiguration(2) as { readonly routes: readonly RouteRecord[]; };
    const routes = configuration.routes
        .filter(({ name }) => name !== "booking")
        .map(route => ({
            ...route,
            max_attempts: maxAttempts,
            ...(route.name === "stream" && hasModels ? { sizes: models, timeout_ms: longDeadlineMilliseconds } : {}),
        }));
    const engine = { models: models.map((name, index) => ({ name, cost: index + 1 })) };
    const services = (configuration as { services?: readonly object[]; }).services ?? [];
    return {
        ...configuration,
        routes,
        services: services.map(service => hasModels ? { ...service, engine } : service),
    };
}

/** Creates the headers of a prompt that any model may answer, with parts that others have too. */
export function createPromptHeaders(count: number): Readonly<Record<string, string>> {
    return {
        "model": "*",
        "token-count": `${tokens.prompt},${tokens.output}`,
        "prompt-prefix": `f1:${tokens.prompt / 2},b${count % runnerCount}:${tokens.prompt / 4},c${count}:${
            tokens.prompt / 4
        }`,
    };
}
