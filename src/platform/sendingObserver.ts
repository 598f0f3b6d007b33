/**
 * Observes when a request is written to its connection, and when its connection is done with it.
 */
import type { Dispatcher } from "undici";

/** What is observed of a request. */
export interface SendingListeners {
    /** Called when the request is written to a connection. */
    readonly onSent?: (() => void) | undefined;
    /** Called when its answer has ended or failed. */
    readonly onEnd?: (() => void) | undefined;
}

/** Passes on what happens to a request, and reports that it starts and ends on a connection. */
class SendingObserver implements Dispatcher.DispatchHandler {
    readonly #handler: Dispatcher.DispatchHandler;
    readonly #listeners: SendingListeners;

    constructor(handler: Dispatcher.DispatchHandler, listeners: SendingListeners) {
        this.#handler = handler;
        this.#listeners = listeners;
    }

    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.#listeners.onSent?.();
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
        this.#listeners.onEnd?.();
    }

    onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
        this.#handler.onResponseError?.(controller, error);
        this.#listeners.onEnd?.();
    }
}

/**
 * Returns a dispatcher that reports when a request is written and when it is done.
 * @param dispatcher - Sends the request.
 * @param listeners - What is called.
 */
export function observeSending(dispatcher: Dispatcher, listeners: SendingListeners): Dispatcher {
    return dispatcher.compose(dispatch => (options, handler) =>
        dispatch(options, new SendingObserver(handler, listeners))
    );
}
