/**
 * Defines the entry's metrics, such as cost, latency, exposure and the load of the entry.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Histogram buckets in seconds, with a fine resolution around the target of 0.9 s for the time to first token. */
const firstTokenBuckets = [0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.75, 0.85, 0.9, 0.95, 1.05, 1.25, 1.6, 2.5, 5, 10];
/** Histogram buckets in seconds, with a fine resolution around the target of 43 ms between tokens. */
const tokenGapBuckets = [0.005, 0.01, 0.02, 0.03, 0.036, 0.04, 0.043, 0.046, 0.05, 0.06, 0.08, 0.12, 0.25, 1];

/** Creates the entry's metrics in their own registry. */
export function createMetrics() {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        requests: new Counter({
            name: "rattanlock_requests_total",
            help: "Requests by workspace and result (answered, or the kind of the refusal) and its outcome.",
            labelNames: ["workspace", "result", "outcome"] as const,
            registers,
        }),
        answers: new Counter({
            name: "rattanlock_answers_total",
            help: "Answers by version and request class.",
            labelNames: ["version", "class"] as const,
            registers,
        }),
        cost: new Counter({
            name: "rattanlock_cost_total",
            help: "Cost of answers in the site's currency.",
            labelNames: ["workspace", "class"] as const,
            registers,
        }),
        ratingSum: new Counter({
            name: "rattanlock_rating_sum",
            help: "Sum of ratings; divided by rattanlock_ratings_total it is the mean quality.",
            labelNames: ["version", "class"] as const,
            registers,
        }),
        ratingCount: new Counter({
            name: "rattanlock_ratings_total",
            help: "Ratings by version and request class.",
            labelNames: ["version", "class"] as const,
            registers,
        }),
        candidateAnswers: new Counter({
            name: "rattanlock_candidate_answers_total",
            help: "Answers of versions that are still candidates: the exposure of roll-outs.",
            labelNames: ["version"] as const,
            registers,
        }),
        firstToken: new Histogram({
            name: "rattanlock_first_token_seconds",
            help: "Time from the request's arrival to the first token.",
            labelNames: ["class"] as const,
            buckets: firstTokenBuckets,
            registers,
        }),
        tokenGap: new Histogram({
            name: "rattanlock_token_gap_seconds",
            help: "Time between two tokens of an answer.",
            buckets: tokenGapBuckets,
            registers,
        }),
        running: new Gauge({
            name: "rattanlock_running_requests",
            help: "Requests that this entry works on.",
            registers,
        }),
        configurationOffset: new Gauge({
            name: "rattanlock_configuration_offset",
            help: "Offset up to which the configuration is in force here.",
            registers,
        }),
        configurationAge: new Gauge({
            name: "rattanlock_configuration_age_seconds",
            help: "Time since the configuration was last confirmed as the newest.",
            registers,
        }),
        members: new Gauge({
            name: "rattanlock_members",
            help: "Entries by state as this entry sees them.",
            labelNames: ["state"] as const,
            registers,
        }),
        limitedUpstreams: new Gauge({
            name: "rattanlock_limited_upstreams",
            help: "Upstreams that take a stated number of requests a second from all entries together.",
            registers,
        }),
        unappendedBills: new Gauge({
            name: "rattanlock_unappended_bills",
            help: "Bills that wait for the log.",
            registers,
        }),
    };
}

/** The entry's metrics. */
export type Metrics = ReturnType<typeof createMetrics>;
