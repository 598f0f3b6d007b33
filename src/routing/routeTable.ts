/**
 * One version of the operator's configuration: routes, pools, workspaces and limits.
 */
import type { Pool } from "./pool.js";
import type { Route } from "./route.js";

/** A workspace, found by one of its API keys. */
export interface KeyedWorkspace {
    readonly name: string;
    /** Takes precedence over the priority of a route. */
    readonly priority: number | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    /** Time that a caller may take for the headers of a request, in milliseconds. */
    readonly headerMilliseconds: number;
    /** Time that a connection may stay without a request, in milliseconds. */
    readonly idleMilliseconds: number;
}

/** Content of a route table. */
export interface RouteTableOptions {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly pools: readonly Pool[];
    /** By API key. Undefined when requests carry no keys at all. */
    readonly workspaces: ReadonlyMap<string, KeyedWorkspace> | undefined;
    readonly limits: CallerLimits;
}

/** Finds routes, pools and workspaces in one version of the configuration. */
export class RouteTable {
    readonly version: number;
    readonly limits: CallerLimits;
    readonly #routesByHost = new Map<string, readonly Route[]>();
    readonly #pools = new Map<string, Pool>();
    readonly #workspaces: ReadonlyMap<string, KeyedWorkspace> | undefined;

    constructor(options: RouteTableOptions) {
        this.version = options.version;
        this.limits = options.limits;
        this.#workspaces = options.workspaces;
        for (const pool of options.pools) {
            this.#pools.set(pool.name, pool);
        }
        const byHost = new Map<string, Route[]>();
        for (const route of options.routes) {
            const host = route.host.toLowerCase();
            byHost.set(host, [...byHost.get(host) ?? [], route]);
        }
        for (const [host, routes] of byHost) {
            // Longest prefix first, so that the first match is the right one.
            this.#routesByHost.set(host, routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
        }
    }

    /**
     * Returns the route with the longest prefix of a path.
     * @param host - Host of the request; a port is passed over.
     * @param path - Path without the query.
     */
    findRoute(host: string, path: string): Route | undefined {
        const routes = this.#routesByHost.get(host.replace(/:\d+$/, "").toLowerCase()) ?? [];
        for (const route of routes) {
            if (path.startsWith(route.pathPrefix)) {
                return route;
            }
        }
        return undefined;
    }

    /** Tells whether requests on routes that are not public need an API key. */
    needsKeys(): boolean {
        return this.#workspaces !== undefined;
    }

    /**
     * Returns the workspace that holds an API key.
     * @param key - The key.
     */
    findWorkspace(key: string): KeyedWorkspace | undefined {
        return this.#workspaces?.get(key);
    }

    /**
     * Returns a pool.
     * @param name - Its name.
     */
    getPool(name: string): Pool | undefined {
        return this.#pools.get(name);
    }
}
