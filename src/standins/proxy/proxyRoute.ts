/**
 * One route through the proxy: a listener whose connections are forwarded to a target.
 */
import type { Result } from "neverthrow";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { type Failure, systemClock } from "../../common/index.js";
import type { Address } from "../address.js";
import { Conditions } from "../conditions.js";
import { Pump } from "./pump.js";
import { resetSocket } from "./resetSocket.js";
import { type RouteFaults, routeFaultSchema } from "./routeFaults.js";

/** Journal entry of a connection. */
export interface ConnectionJournalEntry {
    readonly route: string;
    readonly openedAt: number;
    closedAt?: number;
    toTarget: number;
    fromTarget: number;
}

/** Options of a route. */
export interface ProxyRouteOptions {
    readonly name: string;
    readonly listen: Address;
    readonly target: Address;
    readonly faults?: object;
    /** Called with the journal entry of each connection when the connection opens. */
    readonly onConnection: (entry: ConnectionJournalEntry) => void;
}

interface Connection {
    readonly sockets: readonly Socket[];
    readonly pumps: readonly Pump[];
}

/** Forwards connections to a target and applies faults to them. */
export class ProxyRoute {
    readonly #options: ProxyRouteOptions;
    readonly #faults: Conditions<RouteFaults>;
    readonly #connections = new Set<Connection>();
    #address: Address;
    #server: Server | undefined;

    constructor(options: ProxyRouteOptions) {
        this.#options = options;
        this.#address = options.listen;
        this.#faults = new Conditions(routeFaultSchema, options.faults ?? {});
    }

    /** Returns the faults in force. */
    getFaults(): RouteFaults {
        return this.#faults.get();
    }

    /** Returns the address at which the route listens. */
    getAddress(): Address {
        return this.#address;
    }

    /** Starts listening and returns the address in use. */
    async start(): Promise<Address> {
        const server = createServer({ allowHalfOpen: true }, socket => this.#accept(socket));
        const { host, port } = this.#address;
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        this.#server = server;
        this.#address = { host, port: (server.address() as AddressInfo).port };
        return this.#address;
    }

    /** Breaks all connections and stops listening. */
    async stop(): Promise<void> {
        const server = this.#server;
        this.#server = undefined;
        this.#breakConnections(() => true);
        if (server !== undefined) {
            await new Promise<void>(resolve => server.close(() => resolve()));
        }
    }

    /**
     * Changes some faults and leaves the others as they are.
     * @param change - Keys with their new values.
     */
    async changeFaults(change: object): Promise<Result<unknown, Failure>> {
        const changed = this.#faults.change(change);
        if (changed.isErr()) {
            return changed;
        }
        const { cut, halfOpen, oneWay } = changed.value;
        if (cut) {
            await this.stop();
        }
        else if (this.#server === undefined) {
            await this.start();
        }
        if (!halfOpen && oneWay === "none") {
            // A connection that lost bytes would deliver data with a gap, which TCP never does.
            this.#breakConnections(connection => connection.pumps.some(pump => pump.hasDroppedBytes()));
        }
        for (const connection of this.#connections) {
            for (const pump of connection.pumps) {
                pump.applyFaults();
            }
        }
        return changed;
    }

    #accept(clientSocket: Socket): void {
        const { host, port } = this.#options.target;
        const targetSocket = connect({ host, port, allowHalfOpen: true, noDelay: true });
        clientSocket.setNoDelay(true);
        const sockets = [clientSocket, targetSocket];
        const breakConnection = (): void => breakSockets(sockets);
        const getFaults = (): RouteFaults => this.#faults.get();
        const toTarget = new Pump({
            direction: "to-target",
            from: clientSocket,
            to: targetSocket,
            getFaults,
            breakConnection,
        });
        const fromTarget = new Pump({
            direction: "from-target",
            from: targetSocket,
            to: clientSocket,
            getFaults,
            breakConnection,
        });
        const connection = { sockets, pumps: [toTarget, fromTarget] };
        const journalEntry: ConnectionJournalEntry = {
            route: this.#options.name,
            openedAt: systemClock.wall(),
            toTarget: 0,
            fromTarget: 0,
        };
        this.#options.onConnection(journalEntry);
        this.#connections.add(connection);
        for (const socket of sockets) {
            socket.once("close", () => {
                journalEntry.closedAt = systemClock.wall();
                journalEntry.toTarget = toTarget.getDeliveredBytes();
                journalEntry.fromTarget = fromTarget.getDeliveredBytes();
                if (clientSocket.closed && targetSocket.closed) {
                    this.#connections.delete(connection);
                }
            });
        }
    }

    #breakConnections(shouldBreak: (connection: Connection) => boolean): void {
        for (const connection of this.#connections) {
            if (shouldBreak(connection)) {
                breakSockets(connection.sockets);
            }
        }
    }
}

function breakSockets(sockets: readonly Socket[]): void {
    for (const socket of sockets) {
        resetSocket(socket);
    }
}
