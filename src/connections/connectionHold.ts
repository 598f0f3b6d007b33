/**
 * Keeps the HTTP library from reading a connection.
 */
import type { Socket } from "node:net";

/** Holds a connection, of which nothing is read meanwhile. What was read before is still parsed. */
export class ConnectionHold {
    readonly #connection: Socket | undefined;
    readonly #pause = (): void => {
        this.#connection?.pause();
    };
    #isHeld = false;

    /** @param connection - The connection, or undefined where there is none any more. */
    constructor(connection: Socket | undefined) {
        this.#connection = connection;
    }

    /** Stops reading. The library resumes the connection whenever a request on it is read, so it is paused again each time. */
    hold(): void {
        if (!this.#isHeld) {
            this.#isHeld = true;
            this.#connection?.on("resume", this.#pause);
            this.#pause();
        }
    }

    /** Reads on. */
    release(): void {
        if (this.#isHeld) {
            this.#isHeld = false;
            this.#connection?.removeListener("resume", this.#pause);
            this.#connection?.resume();
        }
    }
}
