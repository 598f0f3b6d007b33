/**
 * Stand-in for the weight store.
 */
import type Router from "@koa/router";
import { createHash } from "node:crypto";
import { z } from "zod";
import { systemClock } from "../common/index.js";
import type { Address } from "./address.js";
import { commonConditions, Conditions, nonNegativeNumber, stringList } from "./conditions.js";
import { sendProblem, StandinServer } from "./standinServer.js";
import { TokenBucket } from "./tokenBucket.js";

const schema = z.strictObject({
    ...commonConditions,
    /** Versions whose weights the store has. */
    versions: stringList.default([]),
    bytes: nonNegativeNumber.default(1_000_000_000),
    readsPerSecond: nonNegativeNumber.default(20),
});

/** A weight store with a rate limit. */
export class WeightStore {
    readonly #conditions: Conditions<z.infer<typeof schema>>;
    readonly #server: StandinServer;
    readonly #bucket: TokenBucket;
    readonly #journal: object[] = [];

    constructor(listen: Address, settings: object = {}) {
        this.#conditions = new Conditions(schema, settings);
        this.#bucket = new TokenBucket(systemClock, () => this.#conditions.get().readsPerSecond);
        this.#server = new StandinServer({
            listen,
            getConditions: () => this.#conditions.get(),
            changeConditions: change => this.#conditions.change(change),
            getJournal: () => this.#journal,
            addRoutes: router => this.#addRoutes(router),
        });
    }

    /** Starts listening and returns the address in use. */
    start(): Promise<Address> {
        return this.#server.start();
    }

    /** Stops listening and closes all connections. */
    stop(): Promise<void> {
        return this.#server.stop();
    }

    #addRoutes(router: Router): void {
        router.get("/weights/:version", context => {
            const { version } = context.params;
            const { versions, bytes } = this.#conditions.get();
            if (!this.#bucket.tryTake()) {
                context.set("Retry-After", "1");
                sendProblem(context, 429, "rate-limit", "Too many reads per second. Try again later.");
                return;
            }
            this.#journal.push({ version, time: systemClock.wall() });
            if (!versions.includes(version)) {
                sendProblem(context, 404, "no-version", `There is no version ${version}. Upload its weights first.`);
                return;
            }
            context.body = { version, bytes, digest: createHash("sha256").update(version).digest("hex") };
        });
    }
}
