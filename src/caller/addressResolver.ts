/**
 * Resolves the entries that a caller sends requests to. The site returns the addresses with a lifetime; the list is
 * cached for that time and then fetched again.
 */
import { z } from "zod";
import { callJson } from "./call.js";

const millisecondsPerSecond = 1000;
const requestTimeoutMilliseconds = 2000;

const addressesSchema = z.object({
    addresses: z.array(z.object({ url: z.string() })),
    keepSeconds: z.number(),
});

/** Provides the current entry addresses of a site. */
export class AddressResolver {
    /** Addresses to query while no others are known. */
    readonly #seeds: readonly string[];
    #addresses: readonly string[] = [];
    #expiresAt = 0;
    #nextIndex = 0;
    #pendingRefresh: Promise<void> | undefined;

    /** @param seeds - `HOST:PORT` of some entries. */
    constructor(seeds: readonly string[]) {
        this.#seeds = seeds;
    }

    /** Returns the address for the next request as `HOST:PORT`, round-robin over the cached addresses. */
    async getAddress(): Promise<string> {
        if (performance.now() >= this.#expiresAt) {
            this.#pendingRefresh ??= this.#refresh().finally(() => this.#pendingRefresh = undefined);
            await this.#pendingRefresh;
        }
        this.#nextIndex += 1;
        return this.#addresses[this.#nextIndex % this.#addresses.length];
    }

    async #refresh(): Promise<void> {
        for (const address of [...this.#addresses, ...this.#seeds]) {
            const document = await fetchAddresses(address);
            if (document === undefined || document.addresses.length === 0) {
                continue;
            }
            this.#addresses = document.addresses.map(({ url }) => new URL(url).host);
            this.#expiresAt = performance.now() + document.keepSeconds * millisecondsPerSecond;
            return;
        }
        throw new Error("No entry returned the addresses to use.");
    }
}

/**
 * Fetches the addresses from one entry. Returns undefined when the entry does not answer, so that the resolver queries
 * the next one. This is safe because no request has been sent to the entry yet.
 */
async function fetchAddresses(address: string): Promise<z.infer<typeof addressesSchema> | undefined> {
    try {
        return addressesSchema.parse(
            await callJson<unknown>({
                address,
                path: "/v1/addresses",
                timeoutMilliseconds: requestTimeoutMilliseconds,
            }),
        );
    }
    catch {
        return undefined;
    }
}
