/**
 * Room of all pools at one node.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { Schedule } from "../limits/admission.js";
import type { LoadedUpstream, LoadStatement } from "./poolLoad.js";
import type { PoolRoom } from "./poolRoom.js";
import type { RoomDecision, RoomRequest } from "./roomDecision.js";
import { RoomGate } from "./roomGate.js";
import { defaultRoomOptions, type RoomOptions } from "./roomOptions.js";

/** Options of `PoolRooms`. */
export interface PoolRoomsOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the available upstreams of a pool; the same array until they change. */
    readonly getAvailable: (pool: string) => readonly LoadedUpstream[];
    /** Returns the number of nodes that may send requests. */
    readonly getNodeCount: () => number;
    readonly schedule?: Schedule;
    readonly room?: Partial<RoomOptions>;
}

/** Interval in which the nodes are counted. */
const nodeCountMilliseconds = 500;

/** An upstream of a pool. */
export interface PooledUpstream extends LoadedUpstream {
    readonly pool: string;
}

/** How a request left its upstream. */
export interface EndedRequest {
    /** Whether the upstream served it to its end; others say nothing of how long it holds requests. */
    readonly isServed: boolean;
    /** Time from the sending to the head of the answer. Undefined when none arrived. */
    readonly headMilliseconds: number | undefined;
}

/** Gives out the room of pools whose upstreams report their load. */
export class PoolRooms implements PoolRoom {
    readonly #options: PoolRoomsOptions;
    #nodes = 1;
    #nodesCountedAt = Number.NEGATIVE_INFINITY;
    readonly #gates = new Map<string, RoomGate>();

    constructor(options: PoolRoomsOptions) {
        this.#options = options;
    }

    /** Returns the pools that requests were sent to. */
    getPools(): Iterable<string> {
        return this.#gates.keys();
    }

    /** Returns the number of this node's requests that wait for room at a pool. */
    getWaiting(pool: string): number {
        return this.#getGate(pool).getWaiting();
    }

    /** Returns the part of a pool's room that this node may use. Undefined when its load is not known. */
    getShare(pool: string): number | undefined {
        return this.#getGate(pool).getShare();
    }

    getOccupancy(pool: string): number | undefined {
        return this.#getGate(pool).getOccupancy();
    }

    getWaitMilliseconds(pool: string, priority: number): number {
        return this.#getGate(pool).getWaitMilliseconds(priority);
    }

    /**
     * Asks for room at a pool.
     * @param pool - Name of the pool.
     * @param request - The request.
     * @param resolve - Called with the decision, at most once.
     * @returns Ends the wait without a decision, for a caller that has left.
     */
    offer(pool: string, request: RoomRequest, resolve: (decision: RoomDecision) => void): () => void {
        return this.#getGate(pool).offer(request, resolve);
    }

    /**
     * Lets a request begin if there is room for it now. Otherwise it does not wait, and its caller is not refused.
     * @param pool - Name of the pool.
     * @param request - The request.
     * @returns Whether it begins.
     */
    tryBegin(pool: string, request: RoomRequest): boolean {
        const gate = this.#getGate(pool);
        const hasRoom = gate.hasRoom(request.priority);
        if (hasRoom) {
            gate.offer(request, () => {});
        }
        return hasRoom;
    }

    /** Adds what an upstream reports with an answer or a rejection. */
    addReport(upstream: PooledUpstream, load: LoadStatement): void {
        const gate = this.#getGate(upstream.pool);
        gate.load.addReport(upstream.id, load, this.#options.clock.monotonic());
        gate.update();
    }

    /**
     * Records that a request is sent to an upstream.
     * @returns A function to call once at its end.
     */
    start({ id, pool }: PooledUpstream): (ended: EndedRequest) => void {
        const { clock } = this.#options;
        const gate = this.#getGate(pool);
        const startedAt = clock.monotonic();
        gate.load.start(id, startedAt);
        return ({ isServed, headMilliseconds }) => {
            const now = clock.monotonic();
            gate.load.end(id, now);
            if (isServed) {
                gate.load.addHoldTime(now - startedAt, gate.getOccupancy() ?? 1);
                gate.load.addHeadTime(headMilliseconds ?? now - startedAt);
            }
            gate.update();
        };
    }

    #countNodes(): number {
        const now = this.#options.clock.monotonic();
        if (now - this.#nodesCountedAt >= nodeCountMilliseconds) {
            this.#nodesCountedAt = now;
            this.#nodes = this.#options.getNodeCount();
        }
        return this.#nodes;
    }

    #getGate(pool: string): RoomGate {
        let gate = this.#gates.get(pool);
        if (gate === undefined) {
            const { clock, random, getAvailable, schedule = scheduleByTimer, room } = this.#options;
            gate = new RoomGate({
                clock,
                random,
                schedule,
                getAvailable: () => getAvailable(pool),
                getNodeCount: () => this.#countNodes(),
                room: { ...defaultRoomOptions, ...room },
            });
            this.#gates.set(pool, gate);
        }
        return gate;
    }
}

function scheduleByTimer(milliseconds: number, run: () => void): () => void {
    const timer = setTimeout(run, milliseconds);
    return () => clearTimeout(timer);
}
