/**
 * Stand-in for the rating service. It derives scores from the true quality that the engine stand-in writes into answers.
 */
import type Router from "@koa/router";
import type Koa from "koa";
import { z } from "zod";
import { systemClock } from "../common/index.js";
import type { Address } from "./address.js";
import { commonConditions, Conditions, nonNegativeNumber, probability } from "./conditions.js";
import { createSeededRandom, getAnswerQuality } from "./engine/answer.js";
import { readJson, sendProblem, StandinServer } from "./standinServer.js";

const schema = z.strictObject({
    ...commonConditions,
    /** Standard deviation of the score around the true quality. */
    noise: nonNegativeNumber.default(0.05),
    /** Probability that an answer is not rated. */
    missingProbability: probability.default(0),
});

const ratingSchema = z.object({
    id: z.string(),
    version: z.string(),
    class: z.string(),
    question: z.unknown(),
    answer: z.string(),
});

/** A rating service with noisy scores, missing ratings and delays. */
export class RatingService {
    readonly #conditions: Conditions<z.infer<typeof schema>>;
    readonly #server: StandinServer;
    readonly #journal: object[] = [];

    constructor(listen: Address, settings: object = {}) {
        this.#conditions = new Conditions(schema, settings);
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
        router.post("/ratings", async context => {
            const parsed = ratingSchema.safeParse(await readJson(context));
            if (!parsed.success) {
                sendProblem(context, 400, "bad-rating", z.prettifyError(parsed.error));
                return;
            }
            this.#rate(context, parsed.data);
        });
    }

    #rate(context: Koa.Context, request: z.infer<typeof ratingSchema>): void {
        const { seed, noise, missingProbability } = this.#conditions.get();
        const random = createSeededRandom(String(seed), request.id, request.version, "rating");
        if (random.next() < missingProbability) {
            context.status = 204;
            return;
        }
        // A truncated answer lacks the quality at its end and counts as quality 0.
        const quality = getAnswerQuality(request.answer) ?? 0;
        const score = Math.min(1, Math.max(0, quality + noise * random.nextNormal()));
        this.#journal.push({
            id: request.id,
            version: request.version,
            class: request.class,
            score,
            time: systemClock.wall(),
        });
        context.body = { id: request.id, score };
    }
}
