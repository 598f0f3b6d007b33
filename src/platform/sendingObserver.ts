/**
 * Observes when a request is written to its connection.
 */
import type { Dispatcher } from "undici";

/** Passes on what happens to a request, and reports that it starts on a connection. */
class SendingObserver implements Dispatcher.DispatchHandler {
    readonly #handler: Dispatcher.DispatchHandler;
    readonly #onSent: () => void;

    constructor(handler: Dispatcher.DispatchHandler, onSent: () => void) {
        this.#handler = handler;
        this.#onSent = onSent;
    }

    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.#onSent();
        this.#handler.onRequestStart?.(controller, context);
    }

    onResponseStart(...start: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>>): void {
        this.#handler.onResponseStart?.(...start);
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.#handler.onResponseData?.(controller, chunk);
    }

    onResponseEnd(...end: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseEnd"]>>): void {
        this.#handler.onResponseEnd?.(...end);
    }

    onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
        this.#handler.onResponseError?.(controller, error);
    }
}

/**
 * Returns a dispatcher that reports when a request is written.
 * @param dispatcher - Sends the request.
 * @param onSent - Called when the request is written to a connection. Without it, nothing is observed.
 */
export function observeSending(dispatcher: Dispatcher, onSent: (() => void) | undefined): Dispatcher {
    return onSent === undefined
        ? dispatcher
        : dispatcher.compose(dispatch => (options, handler) => dispatch(options, new SendingObserver(handler, onSent)));
}
