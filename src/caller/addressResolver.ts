/**
 * A caller's view of which entries to use: it asks the site, keeps the answer for as long as it was told, and asks again.
 */
import { z } from "zod";
import { callJson } from "./call.js";

const millisecondsPerSecond = 1000;
const requestTimeoutMilliseconds = 2000;

const addressesSchema = z.object({
    addresses: z.array(z.object({ url: z.string() })),
    keepSeconds: z.number(),
});

/** Follows the site's addresses. */
export class AddressResolver {
    /** Where to ask as long as nothing else is known. */
    readonly #seeds: readonly string[];
    #addresses: readonly string[] = [];
    #expiresAt = 0;
    #nextIndex = 0;
    #pendingRefresh: Promise<void> | undefined;

    /** @param seeds - `HOST:PORT` of some entries. */
    constructor(seeds: readonly string[]) {
        this.#seeds = seeds;
    }

    /** Returns the address for the next request as `HOST:PORT`, each address of the kept answer in turn. */
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
        throw new Error("No entry tells the addresses to use.");
    }
}

/** Asks one entry; one that does not answer is passed over, since no request depends on it yet. */
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
