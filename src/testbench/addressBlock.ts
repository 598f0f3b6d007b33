/**
 * Allocates addresses for the processes of one test file.
 */

const firstPort = 10_000;
const portCount = 20_000;

/** Allocates addresses of a loopback block. The port depends on the test process, so that two runs can run in parallel. */
export class AddressBlock {
    readonly #prefix: string;
    readonly #port = firstPort + process.pid % portCount;
    #lastHostNumber = 0;

    /** @param prefix - The first three bytes, such as `127.10.3`. */
    constructor(prefix: string) {
        this.#prefix = prefix;
    }

    /** Allocates the next address and returns it as `HOST:PORT`. */
    next(): string {
        this.#lastHostNumber += 1;
        return `${this.#prefix}.${this.#lastHostNumber}:${this.#port}`;
    }
}
