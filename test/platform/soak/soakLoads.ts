/** What the runners of a soak test state of their load, and how they end answers that stay unread. */
import type { ServerResponse } from "node:http";

const slots = 20;
/** Period and amplitude of the time that work takes at a runner, in percent of the usual. */
const slowdownMilliseconds = 700;
const slowdownPercent = 60;
/** One report in so many cannot be read. */
const unreadableInterval = 50;
/** Time for which an answer may stay unread. */
const maxUnreadMilliseconds = 3_000;
const unreadPollMilliseconds = 250;

/** Counts the requests at a runner, and reports them with each answer. */
export class SoakLoad {
    #running = 0;
    #reports = 0;

    /** Adds a request, and states the load with its answer. */
    add(response: ServerResponse): void {
        this.#running += 1;
        this.#reports += 1;
        response.once("close", () => this.#running -= 1);
        const phase = performance.now() / slowdownMilliseconds;
        const percent = Math.round(100 + slowdownPercent * Math.sin(phase));
        const isReadable = this.#reports % unreadableInterval !== 0;
        response.setHeader("Server-Load", `${this.#running},0,${slots},${isReadable ? percent : "fast"}`);
    }
}

/**
 * Cuts an answer off that its reader has left unread for some seconds.
 * @param onCut - Called before.
 */
export function cutOffUnread(response: ServerResponse, onCut: () => void): void {
    let unreadSince: number | undefined;
    const timer = setInterval(() => {
        unreadSince = response.writableLength === 0 ? undefined : unreadSince ?? performance.now();
        if (unreadSince !== undefined && performance.now() - unreadSince > maxUnreadMilliseconds) {
            onCut();
            response.socket?.destroy();
        }
    }, unreadPollMilliseconds);
    response.once("close", () => clearInterval(timer));
}
