/**
 * Reads the body of an answer piece by piece, and notices when nothing arrives for a time.
 */
import { ReadTimeout } from "../common/index.js";

/** Reads a body. A piece that was waited for in vain is returned by the next read. */
export class BodyReader {
    readonly #iterator: AsyncIterator<Buffer>;
    #pending: Promise<IteratorResult<Buffer>> | undefined;

    constructor(body: AsyncIterable<Buffer>) {
        this.#iterator = body[Symbol.asyncIterator]();
    }

    /** Returns the next piece, or undefined at the end of the body. Throws when the body breaks off. */
    async read(): Promise<Buffer | undefined> {
        const { done, value } = await this.#startRead();
        this.#pending = undefined;
        return done === true ? undefined : value as Buffer;
    }

    /**
     * Waits for the next piece, or for the end of the body.
     * @param milliseconds - Time to wait.
     * @returns Whether a read would return or throw at once.
     */
    waitForPiece(milliseconds: number): Promise<boolean> {
        const pending = this.#startRead();
        return new Promise(resolve => {
            const timeout = new ReadTimeout(milliseconds, () => resolve(false));
            const finish = (): void => {
                timeout.clear();
                resolve(true);
            };
            pending.then(finish, finish);
        });
    }

    /** Returns whether the next read returns a piece, once that is known. Throws when the body breaks off. */
    async hasPiece(): Promise<boolean> {
        const { done } = await this.#startRead();
        return done !== true;
    }

    #startRead(): Promise<IteratorResult<Buffer>> {
        this.#pending ??= this.#iterator.next();
        return this.#pending;
    }
}
