/**
 * One version of the operator's configuration: routes, pools, workspaces and limits.
 */
import type { Pool } from "./pool.js";
import type { Route } from "./route.js";

/** A workspace that is identified by an API key. */
export interface KeyedWorkspace {
    readonly name: string;
    /** Takes precedence over the priority of a route. */
    readonly priority: number | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    /** Maximum time for the headers of a request, in milliseconds. */
    readonly headerMilliseconds: number;
    /** Maximum time that a connection may stay idle, in milliseconds. */
    readonly idleMilliseconds: number;
}

/** Options of a route table. */
export interface RouteTableOptions {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly pools: readonly Pool[];
    /** Workspaces by API key. Undefined when requests carry no keys. */
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
            // The longest prefix comes first, so that the first match is the most specific one.
            this.#routesByHost.set(host, routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
        }
    }

    /**
     * Returns the route with the longest matching path prefix.
     * @param host - Host of the request. A port is ignored.
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

    /** Returns whether requests on routes that are not public need an API key. */
    needsKeys(): boolean {
        return this.#workspaces !== undefined;
    }

    /**
     * Returns the workspace of an API key.
     * @param key - The key.
     */
    findWorkspace(key: string): KeyedWorkspace | undefined {
        return this.#workspaces?.get(key);
    }

    /**
     * Returns a pool.
     * @param name - The pool's name.
     */
    getPool(name: string): Pool | undefined {
        return this.#pools.get(name);
    }
}
