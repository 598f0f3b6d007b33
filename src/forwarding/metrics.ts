/**
 * Metrics of request forwarding.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Buckets in seconds, from a short call to a long stream. */
const answerBuckets = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 25];

/** Buckets in seconds, from a turn of an idle process to one in which callers give up. */
const turnBuckets = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5];

/** Creates the metrics in a separate registry. */
export function createForwardingMetrics() {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        requests: new Counter({
            name: "rattanlock_forwarded_requests_total",
            help: "Requests that were matched with a route, by route and what is known of whether they ran.",
            labelNames: ["route", "ran"] as const,
            registers,
        }),
        refusals: new Counter({
            name: "rattanlock_refused_requests_total",
            help: "Requests that were refused before any upstream was asked, by the kind of the refusal.",
            labelNames: ["kind"] as const,
            registers,
        }),
        attempts: new Counter({
            name: "rattanlock_attempts_total",
            help: "Requests sent to upstreams, by pool, version and how that ended.",
            labelNames: ["pool", "version", "outcome"] as const,
            registers,
        }),
        unreadable: new Counter({
            name: "rattanlock_unreadable_inputs_total",
            help:
                "Statements of upstreams and records of the store that cannot be read and were ignored, by their kind.",
            labelNames: ["kind"] as const,
            registers,
        }),
        heads: new Histogram({
            name: "rattanlock_attempt_head_seconds",
            help: "Time from the sending of a request to the head of its answer, by pool and model.",
            labelNames: ["pool", "model"] as const,
            buckets: answerBuckets,
            registers,
        }),
        waits: new Histogram({
            name: "rattanlock_room_wait_seconds",
            help:
                "Time that requests waited at this node for room at a full pool before they began, by pool and priority.",
            labelNames: ["pool", "priority"] as const,
            buckets: answerBuckets,
            registers,
        }),
        turnedAway: new Counter({
            name: "rattanlock_turned_away_requests_total",
            help: "Requests that were turned away because their pool is full, by pool, priority and reason.",
            labelNames: ["pool", "priority", "reason"] as const,
            registers,
        }),
        roomOccupancy: new Gauge({
            name: "rattanlock_pool_occupancy",
            help: "Requests of all nodes at a pool as a share of its slots, as this node believes from reports.",
            labelNames: ["pool"] as const,
            registers,
        }),
        roomShare: new Gauge({
            name: "rattanlock_pool_room_share",
            help: "Part of the room of a full pool that this node may use.",
            labelNames: ["pool"] as const,
            registers,
        }),
        roomWaiting: new Gauge({
            name: "rattanlock_room_waiting_requests",
            help: "Requests that wait at this node for room at a pool.",
            labelNames: ["pool"] as const,
            registers,
        }),
        answers: new Histogram({
            name: "rattanlock_answer_seconds",
            help: "Time from the arrival of a request to the end of its answer, by route.",
            labelNames: ["route"] as const,
            buckets: answerBuckets,
            registers,
        }),
        poorAnswers: new Counter({
            name: "rattanlock_poor_answers_total",
            help: "Answers of low confidence that callers got instead of one of a larger model, by pool and reason.",
            labelNames: ["pool", "reason"] as const,
            registers,
        }),
        secondTries: new Counter({
            name: "rattanlock_second_tries_total",
            help: "Requests sent to a further upstream because one had not begun to answer in time, by pool.",
            labelNames: ["pool"] as const,
            registers,
        }),
        livenessChecks: new Counter({
            name: "rattanlock_liveness_checks_total",
            help:
                "Requests with which upstreams were asked whether they have outlived the end of an answer without a framing, by pool and result.",
            labelNames: ["pool", "result"] as const,
            registers,
        }),
        budgetRefusals: new Counter({
            name: "rattanlock_retries_refused_total",
            help: "Retries that were not made because the retry budget of their pool was spent, by pool.",
            labelNames: ["pool"] as const,
            registers,
        }),
        inFlight: new Gauge({
            name: "rattanlock_forwarded_requests_in_flight",
            help: "Requests that this node works on.",
            registers,
        }),
        configurationVersion: new Gauge({
            name: "rattanlock_route_table_version",
            help: "Version of the route table in force here.",
            registers,
        }),
        configurationAge: new Gauge({
            name: "rattanlock_route_table_age_seconds",
            help: "Time since the route table was last known to be the newest.",
            registers,
        }),
        members: new Gauge({
            name: "rattanlock_alive_members",
            help: "Nodes that are known to live, this one among them.",
            registers,
        }),
        upstreams: new Gauge({
            name: "rattanlock_registered_upstreams",
            help: "Upstreams that are registered, leaving ones among them.",
            registers,
        }),
        warmingUpstreams: new Gauge({
            name: "rattanlock_warming_upstreams",
            help: "Upstreams that are warming up and get few requests.",
            registers,
        }),
        limitedUpstreams: new Gauge({
            name: "rattanlock_limited_upstreams",
            help: "Upstreams that take a stated number of requests a second from all nodes together.",
            registers,
        }),
        rejectionLimitedUpstreams: new Gauge({
            name: "rattanlock_rejection_limited_upstreams",
            help: "Upstreams that state how many rejections in a second they bear before they fail.",
            registers,
        }),
        restingUpstreams: new Gauge({
            name: "rattanlock_resting_upstreams",
            help: "Upstreams that have asked this node for rest which is not over.",
            registers,
        }),
        unreachablePools: new Gauge({
            name: "rattanlock_unreachable_pools",
            help: "Pools of which this node can connect to no upstream.",
            registers,
        }),
        evacuatedDomains: new Gauge({
            name: "rattanlock_evacuated_failure_domains",
            help: "Failure domains whose upstreams get no requests because the operator evacuated them.",
            registers,
        }),
        quarantined: new Gauge({
            name: "rattanlock_quarantined_requests",
            help: "Requests that are sent to no upstream because they crash the upstreams that run them.",
            registers,
        }),
        quarantinedParts: new Gauge({
            name: "rattanlock_quarantined_prompt_parts",
            help:
                "Parts of prompts whose requests are sent to no upstream because they crash the upstreams that run them.",
            registers,
        }),
        heldForCallers: new Gauge({
            name: "rattanlock_held_for_callers_bytes",
            help: "Bytes of answers that this node holds because their callers have not read them yet.",
            registers,
        }),
        waitingCallers: new Gauge({
            name: "rattanlock_callers_behind",
            help: "Callers that have not read all that was written to them.",
            registers,
        }),
        oversizedAnswers: new Counter({
            name: "rattanlock_oversized_answers_total",
            help:
                "Answers of upstreams whose connections were closed since they had no end within a bound, by the bound.",
            labelNames: ["bound"] as const,
            registers,
        }),
        heldAnswers: new Gauge({
            name: "rattanlock_held_answer_bytes",
            help: "Bytes of answers that are read completely before they are passed on.",
            registers,
        }),
        heldBodies: new Gauge({
            name: "rattanlock_held_body_bytes",
            help: "Bytes that are reserved for the larger bodies of callers' requests.",
            registers,
        }),
        droppedCallers: new Counter({
            name: "rattanlock_slow_callers_dropped_total",
            help: "Answers that were given up because their callers read too slowly, by the bound that was exceeded.",
            labelNames: ["bound"] as const,
            registers,
        }),
        brokenReplies: new Counter({
            name: "rattanlock_broken_answers_total",
            help: "Answers whose connections were closed by this node before they were complete.",
            registers,
        }),
        departedCallers: new Counter({
            name: "rattanlock_departed_callers_total",
            help: "Requests whose callers had left before anything was done for them.",
            registers,
        }),
        slowestPace: new Gauge({
            name: "rattanlock_upstream_pace_slowest",
            help: "Time of the slowest upstream for the same work, relative to its pool.",
            labelNames: ["pool"] as const,
            registers,
        }),
        fastestPace: new Gauge({
            name: "rattanlock_upstream_pace_fastest",
            help: "Time of the fastest upstream for the same work, relative to its pool.",
            labelNames: ["pool"] as const,
            registers,
        }),
        knownPaces: new Gauge({
            name: "rattanlock_upstream_pace_known",
            help: "Upstreams whose times were measured by this node or another one.",
            labelNames: ["pool"] as const,
            registers,
        }),
        unreadablePaceDigests: new Counter({
            name: "rattanlock_pace_digests_unreadable_total",
            help: "Values with the paces of upstreams from other nodes that could not be read.",
            registers,
        }),
        turns: new Histogram({
            name: "rattanlock_turn_seconds",
            help: "Time between two reads of all connections of the process, measured while requests arrive.",
            buckets: turnBuckets,
            registers,
        }),
        linesLeftOut: new Gauge({
            name: "rattanlock_log_lines_left_out",
            help: "Log lines that were left out since the start to bound their volume.",
            registers,
        }),
    };
}

/** The metrics of request forwarding. */
export type ForwardingMetrics = ReturnType<typeof createForwardingMetrics>;
