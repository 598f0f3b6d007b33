/**
 * Lets requests wait until there is room for them at their pool.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/index.js";
import type { EndedRequest, PoolRooms, PromptDescription, RoomDecision, RoomRequest } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { AttemptFailure, AttemptRequest } from "./attempt.js";
import type { Exchange } from "./exchange.js";
import type { ForwardingMetrics } from "./metrics.js";

/** Options of `WaitingRoom`. */
export interface WaitingRoomOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    readonly metrics: ForwardingMetrics;
    readonly rooms: Pick<PoolRooms, "offer" | "tryBegin" | "start" | "getWaitMilliseconds">;
}

/** A request that has room. */
export interface RoomEntry {
    /** Whether it had to wait, so that what was known before may have changed. */
    readonly hasWaited: boolean;
}

/** Name under which requests without a workspace compete. */
const anonymousWorkspace = "";
/** Waits below this length are not logged: the request began as soon as it arrived. */
const minLoggedWaitMilliseconds = 1;
/** Expected work of a call without a prompt. All such calls of a pool count the same. */
const callWork = 1;

/** The place where requests wait for room. */
export class WaitingRoom {
    readonly #options: WaitingRoomOptions;

    constructor(options: WaitingRoomOptions) {
        this.#options = options;
    }

    /**
     * Waits until an attempt may begin. One whose answer has already started does not wait: the caller would notice a pause.
     * @returns The entry, or why the attempt is not made.
     */
    async enter({ exchange, prompt }: AttemptRequest): Promise<Result<RoomEntry, AttemptFailure>> {
        if (exchange.reply.hasStarted) {
            return ok({ hasWaited: false });
        }
        const decision = await this.#wait(exchange, getWork(exchange, prompt), exchange.ended);
        if (decision === undefined) {
            return err({ kind: "not-made", reason: "ended" });
        }
        this.#record(exchange, decision);
        return decision.kind === "begin"
            ? ok({ hasWaited: decision.hasWaited })
            : err({ kind: "not-made", reason: "no-room", retryAfterMilliseconds: decision.retryAfterMilliseconds });
    }

    /**
     * Waits until a further attempt may begin in place of one that has failed.
     * @param request - The further attempt.
     * @param signal - Ends the wait.
     * @returns Whether it may begin. Otherwise its caller is not refused.
     */
    async enterAgain({ exchange, prompt }: AttemptRequest, signal: AbortSignal): Promise<boolean> {
        if (exchange.reply.hasStarted) {
            return true;
        }
        if (this.#options.rooms.getWaitMilliseconds(exchange.pool, exchange.priority) >= exchange.getTimeLeft()) {
            return false;
        }
        const decision = await this.#wait(exchange, getWork(exchange, prompt), signal);
        return decision?.kind === "begin";
    }

    /**
     * Lets a further attempt begin beside the current one if there is room now. One whose answer has already started needs none.
     * @returns Whether it may begin. Otherwise nothing is left of the question.
     */
    tryEnterBeside({ exchange, prompt }: AttemptRequest): boolean {
        const { pool, reply } = exchange;
        return reply.hasStarted
            || this.#options.rooms.tryBegin(pool, createRoomRequest(exchange, getWork(exchange, prompt)));
    }

    /**
     * Records that an attempt begins at an upstream.
     * @returns A function to call once at its end.
     */
    start(upstream: RegisteredUpstream): (ended: EndedRequest) => void {
        return this.#options.rooms.start(upstream);
    }

    /** Returns the decision, or undefined when the wait was ended by the signal. */
    #wait(exchange: Exchange, work: number, signal: AbortSignal): Promise<RoomDecision | undefined> {
        return new Promise(resolve => {
            const leave = (): void => {
                stopWaiting();
                resolve(undefined);
            };
            signal.addEventListener("abort", leave, { once: true });
            const stopWaiting = this.#options.rooms.offer(
                exchange.pool,
                createRoomRequest(exchange, work),
                decision => {
                    signal.removeEventListener("abort", leave);
                    resolve(decision);
                },
            );
        });
    }

    #record(exchange: Exchange, decision: RoomDecision): void {
        const { journal, metrics } = this.#options;
        const { pool, workspace, priority, request } = exchange;
        const { waitedMilliseconds, expectedWaitMilliseconds, share, occupancy, waiting } = decision.basis;
        const details = {
            request: request.id,
            pool,
            workspace,
            priority,
            waitedMs: Math.round(waitedMilliseconds),
            share: round(share),
            occupancy: occupancy === undefined ? undefined : round(occupancy),
            waiting,
        };
        if (decision.kind === "turned-away") {
            metrics.turnedAway.inc({ pool, priority, reason: decision.reason });
            journal.write(events.requestTurnedAway, {
                ...details,
                reason: decision.reason,
                expectedWaitMs: Math.round(expectedWaitMilliseconds),
                retryAfterMs: Math.round(decision.retryAfterMilliseconds),
            });
        }
        else if (waitedMilliseconds >= minLoggedWaitMilliseconds) {
            metrics.waits.observe({ pool, priority }, waitedMilliseconds / 1_000);
            journal.write(events.requestWaited, details);
        }
    }
}

function createRoomRequest(exchange: Exchange, work: number): RoomRequest {
    const { workspace = anonymousWorkspace, priority, route, request } = exchange;
    return {
        workspace,
        priority,
        work,
        bytes: request.body.length,
        objectiveMilliseconds: route.objectiveMilliseconds - exchange.getElapsed(),
        deadlineMilliseconds: exchange.getTimeLeft(),
        getCaller: () => getCaller(exchange),
    };
}

/** Identifies a request by its content. Requests without a body are too alike: those of different callers count as repeats. */
function getCaller({ request, watchedRequest }: Exchange): string | undefined {
    return request.body.length === 0 ? undefined : watchedRequest.getFingerprint();
}

/** Returns the expected work of a request. */
function getWork(exchange: Exchange, prompt: PromptDescription | undefined): number {
    return prompt === undefined ? callWork : getPromptWork(exchange, prompt.tokens);
}

/** Returns the expected work of a prompt in tokens: prompt tokens cost a quarter of generated ones. */
function getPromptWork({ request }: Exchange, promptTokens: number): number {
    const { expectedOutputTokens, maxOutputTokens = 0 } = request.generation ?? {};
    return Math.max(1, promptTokens / 4 + (expectedOutputTokens ?? maxOutputTokens));
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}
