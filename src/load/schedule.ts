/**
 * The schedule of a run: all requests with their arrival times, fixed before the first one is sent.
 */
import { RandomSource } from "../common/index.js";
import { createArrivalTimes } from "./arrivals.js";
import type { LoadWork } from "./profile.js";

/** A scheduled request. */
export interface Arrival {
    /** Milliseconds from the start of the run. */
    readonly at: number;
    readonly work: LoadWork;
    /**
     * Number of the request within the run. Prompts and idempotency keys derive from it, so that they differ between
     * requests and stay the same for every attempt of a request.
     */
    readonly number: number;
    /** Number of the history that precedes the question. */
    readonly history: number;
    /** The session, if the work is a conversation. */
    readonly session: string | undefined;
    /** Index of the question within its session, from 0. */
    readonly turn: number;
}

/** Options of a schedule. */
export interface ScheduleOptions {
    readonly works: readonly LoadWork[];
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly seed: number;
}

/**
 * Draws a schedule. Equal options give equal schedules.
 * @param options - The mix, the rate, the duration and the seed.
 */
export function createSchedule({ works, ratePerSecond, seconds, seed }: ScheduleOptions): readonly Arrival[] {
    const random = new RandomSource(seed);
    const sessionPools = new Map<LoadWork, SessionPool>();
    const arrivals: Arrival[] = [];
    // All times are drawn before the work, so that a change of the mix does not change them and runs stay comparable.
    for (const [number, at] of createArrivalTimes({ ratePerSecond, seconds, random }).entries()) {
        const work = drawWork(works, random);
        const history = random.nextInteger(work.histories);
        if (work.kind !== "conversation") {
            arrivals.push({ at, work, number, history, session: undefined, turn: 0 });
            continue;
        }
        const sessionPool = sessionPools.get(work) ?? new SessionPool(work, seed);
        sessionPools.set(work, sessionPool);
        arrivals.push({ at, work, number, ...sessionPool.drawTurn(random) });
    }
    return arrivals;
}

/** Holds the open sessions of one kind of work. */
class SessionPool {
    readonly #work: LoadWork;
    readonly #seed: number;
    readonly #openSessions: { session: string; history: number; turn: number; }[] = [];
    #sessionCount = 0;

    constructor(work: LoadWork, seed: number) {
        this.#work = work;
        this.#seed = seed;
    }

    drawTurn(random: RandomSource): Pick<Arrival, "session" | "history" | "turn"> {
        const index = random.nextInteger(this.#work.openSessions);
        let openSession = this.#openSessions[index];
        if (openSession === undefined || openSession.turn >= this.#work.turns) {
            this.#sessionCount += 1;
            const session = `${this.#work.name}-${this.#seed}-${this.#sessionCount}`;
            openSession = { session, history: random.nextInteger(this.#work.histories), turn: 0 };
            this.#openSessions[index] = openSession;
        }
        const current = { ...openSession };
        openSession.turn += 1;
        return current;
    }
}

function drawWork(works: readonly LoadWork[], random: RandomSource): LoadWork {
    let total = 0;
    for (const work of works) {
        total += work.share;
    }
    let remaining = random.next() * total;
    let drawn = works[0];
    for (const work of works) {
        if (work.share === 0) {
            continue;
        }
        drawn = work;
        remaining -= work.share;
        if (remaining < 0) {
            break;
        }
    }
    return drawn;
}
