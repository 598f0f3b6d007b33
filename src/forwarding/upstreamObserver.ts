/**
 * Records what answers and refusals state of their upstreams.
 */
import type { PoolRooms, RejectionLimit, UpstreamPicker } from "../decisions/index.js";
import { events, type ThrottledJournal } from "../events/index.js";
import type { Announcements, RegisteredUpstream } from "../fleet/index.js";
import type { RateLimits } from "../ratelimits/index.js";
import type { Reachability } from "../reachability/index.js";
import type { ForwardingMetrics } from "./metrics.js";
import type { UpstreamAnswer, UpstreamCallFailure, UpstreamStatement } from "./upstreamCall.js";

/** Options of `UpstreamObserver`. */
export interface UpstreamObserverOptions {
    readonly throttledJournal: Pick<ThrottledJournal, "write">;
    readonly metrics: Pick<ForwardingMetrics, "unreadable">;
    readonly announcements: Pick<Announcements, "observe">;
    readonly picker: Pick<UpstreamPicker, "addLoadReport" | "markSeen">;
    /** Learns which pools answer. */
    readonly reachability: Pick<Reachability, "startCall" | "markSeen">;
    readonly rateLimits: Pick<RateLimits, "observe">;
    readonly rejectionLimit: Pick<RejectionLimit, "isLimited" | "observe">;
    readonly rooms: Pick<PoolRooms, "addReport">;
}

/** Passes on what is learned of upstreams to the parts that decide by it. */
export class UpstreamObserver {
    readonly #options: UpstreamObserverOptions;

    constructor(options: UpstreamObserverOptions) {
        this.#options = options;
    }

    /**
     * Records that a call was sent to an upstream.
     * @returns A function to call once when the answer starts or the call ends.
     */
    startCall({ pool }: RegisteredUpstream): () => void {
        return this.#options.reachability.startCall(pool);
    }

    /** Returns whether an upstream fails when it has to reject too many requests. */
    isRejectionLimited({ id }: RegisteredUpstream): boolean {
        return this.#options.rejectionLimit.isLimited(id);
    }

    /** Records that data was received from an upstream. */
    markSeen(upstream: RegisteredUpstream): void {
        this.#options.picker.markSeen(upstream.id);
        this.#options.reachability.markSeen(upstream.pool);
    }

    /**
     * Records the head of an answer.
     * @param upstream - The upstream.
     * @param answer - Its answer.
     * @param sentAt - Monotonic time at which the request was sent.
     */
    observeAnswer(upstream: RegisteredUpstream, answer: UpstreamAnswer, sentAt: number): void {
        this.markSeen(upstream);
        this.#observe(upstream, answer, { sentAt, isRejection: false });
    }

    /**
     * Records a failed call.
     * @param upstream - The upstream.
     * @param failure - How the call failed.
     * @param sentAt - Monotonic time at which the request was sent.
     */
    observeFailure(upstream: RegisteredUpstream, failure: UpstreamCallFailure, sentAt: number): void {
        this.#observe(upstream, failure, { sentAt, isRejection: failure.kind === "refused" });
    }

    /**
     * Records what an answer says about further requests, also one to a request that this node forwarded for another one.
     * @param upstream - The upstream.
     * @param statement - What the head of the answer states.
     */
    observeAnnouncement(
        upstream: RegisteredUpstream,
        { isLeaving = false, restMilliseconds, unreadableRest, unreadableLoad }: Partial<UpstreamStatement>,
    ): void {
        this.#options.announcements.observe(upstream, { isLeaving, restMilliseconds });
        if (unreadableRest !== undefined) {
            this.#reportUnreadable("rest", upstream, unreadableRest);
        }
        if (unreadableLoad !== undefined) {
            this.#reportUnreadable("load", upstream, unreadableLoad);
        }
    }

    #reportUnreadable(kind: "load" | "rest", { id }: RegisteredUpstream, value: string): void {
        const { metrics, throttledJournal } = this.#options;
        metrics.unreadable.inc({ kind });
        const definition = kind === "load" ? events.loadUnreadable : events.restUnreadable;
        throttledJournal.write(definition, id, { upstream: id, value });
    }

    #observe(
        upstream: RegisteredUpstream,
        statement: Partial<UpstreamStatement>,
        { sentAt, isRejection }: { readonly sentAt: number; readonly isRejection: boolean; },
    ): void {
        const { picker, rateLimits, rejectionLimit, rooms } = this.#options;
        const { id, pool } = upstream;
        const { load, requestsPerSecond, rejectionsPerSecond } = statement;
        this.observeAnnouncement(upstream, statement);
        const report = load && {
            requests: load.running + load.waiting,
            waiting: load.waiting,
            slots: load.slots,
            slowdown: load.slowdown,
        };
        if (requestsPerSecond !== undefined) {
            rateLimits.observe({ upstream: id, requestsPerSecond, sentAt });
        }
        rejectionLimit.observe({ upstream: id, pool, rejectionsPerSecond, isRejection, load: report });
        if (report !== undefined) {
            picker.addLoadReport(upstream, report);
            rooms.addReport(upstream, report);
        }
    }
}
