/**
 * Versions that an engine has loaded, and the orders that change them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { z } from "zod";
import type { EngineConditions } from "./engineConditions.js";

const retryMilliseconds = 200;

const orderSchema = z.object({
    fence: z.number(),
    versions: z.array(z.string()),
    role: z.string().optional(),
});

/** An order: the desired state of the engine. */
export type Order = z.infer<typeof orderSchema>;

/** Journal entry of an order. */
export interface OrderJournalEntry extends Order {
    readonly kind: "order";
    readonly time: number;
    readonly outcome: "followed" | "ignored" | "refused";
}

/** Parses an order. Returns undefined when the body is not an order. */
export function readOrder(body: unknown): Order | undefined {
    return orderSchema.safeParse(body).data;
}

/** Loads and unloads versions until they match the latest order. */
export class LoadedVersions {
    readonly #getConditions: () => EngineConditions;
    readonly #loaded: Set<string>;
    #desired: ReadonlySet<string>;
    #maxFencingToken = -1;
    #role: string;

    constructor(getConditions: () => EngineConditions) {
        this.#getConditions = getConditions;
        this.#loaded = new Set(getConditions().versions);
        this.#desired = new Set(this.#loaded);
        this.#role = getConditions().role;
    }

    /** Returns the versions that are loaded now. */
    get(): readonly string[] {
        return [...this.#loaded];
    }

    /** Returns whether a version is loaded now. */
    has(version: string): boolean {
        return this.#loaded.has(version);
    }

    /** Returns the engine's role. */
    getRole(): string {
        return this.#role;
    }

    /** Applies an order and returns its outcome. Versions are still being loaded after the return. */
    applyOrder(order: Order): OrderJournalEntry["outcome"] {
        const { checksFencing, ignoreOrders } = this.#getConditions();
        if (checksFencing && order.fence < this.#maxFencingToken) {
            return "refused";
        }
        this.#maxFencingToken = Math.max(this.#maxFencingToken, order.fence);
        if (ignoreOrders) {
            return "ignored";
        }
        this.#role = order.role ?? this.#role;
        const desired = new Set(order.versions);
        if (desired.size === this.#desired.size && order.versions.every(version => this.#desired.has(version))) {
            // The desired state is unchanged. A load in progress must continue instead of starting again.
            return "followed";
        }
        this.#desired = desired;
        for (const version of this.#loaded) {
            if (!this.#desired.has(version)) {
                this.#loaded.delete(version);
            }
        }
        void this.#loadMissing();
        return "followed";
    }

    async #loadMissing(): Promise<void> {
        const desired = this.#desired;
        for (const version of desired) {
            if (this.#loaded.has(version)) {
                continue;
            }
            await sleep(this.#getConditions().loadMilliseconds);
            if (!await this.#fetchWeights(version, () => this.#desired === desired)) {
                continue;
            }
            if (this.#desired !== desired) {
                return;
            }
            this.#loaded.add(version);
        }
    }

    /**
     * Fetches weights. Retries while the store is unavailable or rejects the request because of its rate limit.
     * @returns Whether the weights were fetched; false when the store does not have the version or a later order applies.
     */
    async #fetchWeights(version: string, isStillDesired: () => boolean): Promise<boolean> {
        const { weightStore } = this.#getConditions();
        if (weightStore === "") {
            return true;
        }
        while (isStillDesired()) {
            const status = await getStatus(`http://${weightStore}/weights/${encodeURIComponent(version)}`);
            if (status === 200 || status === 404) {
                return status === 200;
            }
            await sleep(retryMilliseconds);
        }
        return false;
    }
}

async function getStatus(url: string): Promise<number> {
    try {
        const { statusCode, body } = await request(url);
        await body.dump();
        return statusCode;
    }
    catch {
        return 503;
    }
}
