/**
 * Closes connections of callers that have been idle for too long.
 */
import type { Socket } from "node:net";
import type { Clock, ReadProgress } from "../common/index.js";

/** Options of `IdleConnections`. */
export interface IdleConnectionsOptions {
    readonly clock: Clock;
    readonly readProgress: ReadProgress;
    /** Returns how long a connection may be idle now, in milliseconds. */
    readonly getLimit: () => number;
}

/**
 * Decides about connections whose idle timer has expired. The HTTP library starts that timer with the limit of the moment, and after a
 * pause of the process it expires before what arrived meanwhile is read.
 */
export class IdleConnections {
    readonly #options: IdleConnectionsOptions;
    /** Monotonic times at which connections became idle, in milliseconds. */
    readonly #idleSince = new WeakMap<Socket, number>();

    constructor(options: IdleConnectionsOptions) {
        this.#options = options;
    }

    /** Records that an answer on a connection has ended. */
    add(connection: Socket): void {
        this.#idleSince.set(connection, this.#options.clock.monotonic());
    }

    /** Closes a connection whose timer has expired, unless something has arrived on it or the limit was raised meanwhile. */
    async handleTimeout(connection: Socket): Promise<void> {
        const { bytesRead } = connection;
        await this.#options.readProgress.readArrived();
        if (connection.bytesRead !== bytesRead) {
            return;
        }
        const millisecondsLeft = this.#getMillisecondsLeft(connection);
        if (millisecondsLeft > 0) {
            connection.setTimeout(millisecondsLeft);
        }
        else {
            connection.destroy();
        }
    }

    #getMillisecondsLeft(connection: Socket): number {
        const { clock, getLimit } = this.#options;
        const idleSince = this.#idleSince.get(connection) ?? Number.NEGATIVE_INFINITY;
        return idleSince + getLimit() - clock.monotonic();
    }
}
