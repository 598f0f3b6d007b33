/**
 * Discards answers that are not read.
 */
import type { Dispatcher } from "undici";

/** Closes the connection of an answer whose body has not ended. */
export function destroyBody({ body }: Pick<Dispatcher.ResponseData, "body">): void {
    body.on("error", () => {
        // Destroying the body closes the connection, which the body reports as an error.
    });
    body.destroy();
}
