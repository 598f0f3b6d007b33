/** The framings of the answers of a soak test, and how runners break them off. */
import type { ServerResponse } from "node:http";
import type { RandomSource } from "../../../src/common/index.js";
import type { ReceivedRequest } from "../standins/runnerStandin.js";
import { draw, wait } from "./soakRecord.js";

/** How the end of an answer is marked. */
export type SoakFraming = "none" | "chunks" | "length";

/** Where a stream is broken off: between two events, inside one, or inside one with the last chunk after it. */
export type SoakBreak = "between" | "inside" | "last-chunk";

/** Time that the bytes of an answer have to leave before a reset discards them. */
const leaveMilliseconds = 15;
/** The share of the answers of sound runners that are broken off all the same. */
const brokenShare = 0.2;
const framings: readonly SoakFraming[] = ["none", "chunks", "length"];
const breaks: readonly SoakBreak[] = ["between", "inside", "last-chunk"];

/** Draws framings, and knows what may be known of the ends of answers. */
export class SoakFramings {
    readonly #random: RandomSource;
    readonly #framings = new Map<ReceivedRequest, SoakFraming>();
    /** The framing of the first answer to each request, which decides what its later parts may claim. */
    readonly #firstFramings = new Map<string, SoakFraming>();
    readonly #unstated = new Set<string>();

    /** @param random - A source of its own, so that a seed's faults are the same without framings. */
    constructor(random: RandomSource) {
        this.#random = random;
    }

    /** Draws the framing of an answer whose head is not written yet. */
    begin(request: ReceivedRequest, response: ServerResponse, wholeLength: number): void {
        const framing = draw(this.#random, framings);
        this.#framings.set(request, framing);
        const id = String(request.headers["attempt-id"]);
        this.#firstFramings.set(id, this.#firstFramings.get(id) ?? framing);
        if (framing === "none") {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        else if (framing === "length") {
            response.setHeader("Content-Length", String(wholeLength));
        }
        else {
            response.removeHeader("Content-Length");
        }
    }

    /** Draws whether the answer of a sound runner is broken off. */
    drawsBreak(): boolean {
        return this.#random.next() < brokenShare;
    }

    /** Draws where an answer is broken off. */
    drawBreak(request: ReceivedRequest): SoakBreak {
        const drawn = draw(this.#random, breaks);
        return drawn === "last-chunk" && this.#framings.get(request) !== "chunks" ? "inside" : drawn;
    }

    /** Ends an answer that is broken off, in order or by a reset. */
    async breakOff(request: ReceivedRequest, response: ServerResponse, at: SoakBreak): Promise<void> {
        const isReset = this.#random.next() < 0.5;
        if (!isReset && at === "between") {
            this.markClosed(request);
        }
        await wait(leaveMilliseconds);
        if (at === "last-chunk") {
            response.end();
        }
        else if (isReset) {
            response.socket?.resetAndDestroy();
        }
        else {
            response.socket?.end();
        }
    }

    /** Records that a runner that goes on closes the connection of an answer in order before its end. */
    markClosed(request: ReceivedRequest): void {
        if (!this.isFramed(request)) {
            this.#unstated.add(String(request.headers["attempt-id"]));
        }
    }

    /**
     * Returns whether a run of a request was broken off so that nobody can tell: in order, between events, without a framing, at a runner
     * that lives, and where no earlier answer had a framing.
     */
    hasUnstatedBreak(id: string): boolean {
        return this.#unstated.has(id) && this.#firstFramings.get(id) === "none";
    }

    /** Returns whether the end of a run's answer was marked. */
    isFramed(request: ReceivedRequest): boolean {
        return this.#framings.get(request) !== "none";
    }
}
