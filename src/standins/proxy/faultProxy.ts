/**
 * Fault-injecting proxy. It forwards TCP connections to their targets and delays, holds back, drops or breaks them.
 */
import type Router from "@koa/router";
import type Koa from "koa";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../../common/index.js";
import { type Address, formatAddress, parseAddress } from "../address.js";
import { readJson, sendProblem, StandinServer } from "../standinServer.js";
import { type ConnectionJournalEntry, ProxyRoute } from "./proxyRoute.js";

const routeSchema = z.strictObject({ listen: z.string(), target: z.string() });

const schema = z.strictObject({
    /** Initial routes by name. */
    route: z.record(z.string(), routeSchema).default({}),
});

/** Forwards connections along named routes. Each route has a listener, a target and its own faults. */
export class FaultProxy {
    readonly #server: StandinServer;
    readonly #routes = new Map<string, ProxyRoute>();
    readonly #initialSettings: z.infer<typeof schema>;
    readonly #journal: ConnectionJournalEntry[] = [];

    constructor(listen: Address, settings: object = {}) {
        this.#initialSettings = schema.parse(settings);
        this.#server = new StandinServer({
            listen,
            getConditions: () => ({ seed: 0, outage: "none", delayMilliseconds: 0, routes: this.#getAllFaults() }),
            changeConditions: change => this.changeFaults(change),
            getJournal: () => this.#journal,
            addRoutes: router => this.#addRoutes(router),
        });
    }

    /** Opens all routes and the control port; returns the control port's address. */
    async start(): Promise<Address> {
        for (const [name, { listen, target }] of Object.entries(this.#initialSettings.route)) {
            await this.addRoute(name, parseAddress(listen), parseAddress(target));
        }
        return this.#server.start();
    }

    /** Breaks all connections and stops listening. */
    async stop(): Promise<void> {
        for (const route of this.#routes.values()) {
            await route.stop();
        }
        await this.#server.stop();
    }

    /**
     * Opens a route and stops an existing route of the same name.
     * @returns The address at which the route listens.
     */
    async addRoute(name: string, listen: Address, target: Address): Promise<Address> {
        await this.#routes.get(name)?.stop();
        const route = new ProxyRoute({ name, listen, target, onConnection: entry => this.#journal.push(entry) });
        this.#routes.set(name, route);
        return route.start();
    }

    /**
     * Changes faults of the route that `route` names, or of all routes when `route` is missing.
     * @param change - The body of `POST /faults`.
     */
    async changeFaults(change: object): Promise<Result<unknown, Failure>> {
        const { route: name, ...faults } = change as Record<string, unknown>;
        const routes = name === undefined ? [...this.#routes.values()] : [this.#routes.get(String(name))];
        for (const route of routes) {
            const changed = await route?.changeFaults(faults)
                ?? err(createUnknownRouteFailure(String(name), this.#routes.keys()));
            if (changed.isErr()) {
                return changed;
            }
        }
        return ok(undefined);
    }

    #addRoutes(router: Router): void {
        router.put("/routes/:name", context => this.#putRoute(context, context.params.name));
        router.get("/routes", context => {
            const addresses: Record<string, string> = {};
            for (const [name, route] of this.#routes) {
                addresses[name] = formatAddress(route.getAddress());
            }
            context.body = addresses;
        });
    }

    async #putRoute(context: Koa.Context, name: string): Promise<void> {
        const parsed = routeSchema.safeParse(await readJson(context));
        if (!parsed.success) {
            sendProblem(context, 400, "bad-route", z.prettifyError(parsed.error));
            return;
        }
        const address = await this.addRoute(name, parseAddress(parsed.data.listen), parseAddress(parsed.data.target));
        context.body = { listen: formatAddress(address) };
    }

    #getAllFaults(): object {
        const faults: Record<string, object> = {};
        for (const [name, route] of this.#routes) {
            faults[name] = route.getFaults();
        }
        return faults;
    }
}

function createUnknownRouteFailure(name: string, names: Iterable<string>): Failure {
    return new Failure({
        kind: "invalid-input",
        message: `There is no route "${name}".`,
        remedy: `Take one of ${[...names].join(", ")}, or open it with PUT /routes/${name}.`,
    });
}
