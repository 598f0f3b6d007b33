/**
 * The schedule of a run: which request arrives when, fixed before the first one is sent.
 */
import { RandomSource } from "../common/index.js";
import { createArrivalTimes } from "./arrivals.js";
import type { LoadWork } from "./profile.js";

/** A request that is to arrive. */
export interface Arrival {
    /** Milliseconds from the start of the run. */
    readonly at: number;
    readonly work: LoadWork;
    /** Distinguishes the run's requests, and makes idempotency keys and sessions repeatable. */
    readonly number: number;
    /** Number of the history that the question is about. */
    readonly history: number;
    /** The session, when the work is a conversation. */
    readonly session: string | undefined;
    /** Place of the question within its session, from 0. */
    readonly turn: number;
}

/** What a schedule is drawn from. */
export interface ScheduleOptions {
    readonly works: readonly LoadWork[];
    readonly ratePerSecond: number;
    readonly seconds: number;
    readonly seed: number;
}

/**
 * Draws a schedule; the same options give the same one.
 * @param options - The mix, the rate, the time and the seed.
 */
export function createSchedule({ works, ratePerSecond, seconds, seed }: ScheduleOptions): readonly Arrival[] {
    const random = new RandomSource(seed);
    const conversations = new Map<LoadWork, ConversationBook>();
    const arrivals: Arrival[] = [];
    // All times are drawn first, so that a change of the mix leaves them as they are and two runs can be compared.
    for (const [number, at] of createArrivalTimes({ ratePerSecond, seconds, random }).entries()) {
        const work = drawWork(works, random);
        const history = random.nextInteger(work.histories);
        if (work.kind !== "conversation") {
            arrivals.push({ at, work, number, history, session: undefined, turn: 0 });
            continue;
        }
        const book = conversations.get(work) ?? new ConversationBook(work, seed);
        conversations.set(work, book);
        arrivals.push({ at, work, number, ...book.takeTurn(random) });
    }
    return arrivals;
}

/** Holds the open sessions of one work. */
class ConversationBook {
    readonly #work: LoadWork;
    readonly #seed: number;
    readonly #open: { session: string; history: number; turn: number; }[] = [];
    #count = 0;

    constructor(work: LoadWork, seed: number) {
        this.#work = work;
        this.#seed = seed;
    }

    takeTurn(random: RandomSource): Pick<Arrival, "session" | "history" | "turn"> {
        const place = random.nextInteger(this.#work.openSessions);
        let entry = this.#open[place];
        if (entry === undefined || entry.turn >= this.#work.turns) {
            this.#count += 1;
            const session = `${this.#work.name}-${this.#seed}-${this.#count}`;
            entry = { session, history: random.nextInteger(this.#work.histories), turn: 0 };
            this.#open[place] = entry;
        }
        const taken = { ...entry };
        entry.turn += 1;
        return taken;
    }
}

function drawWork(works: readonly LoadWork[], random: RandomSource): LoadWork {
    let total = 0;
    for (const work of works) {
        total += work.share;
    }
    let left = random.next() * total;
    let drawn = works[0];
    for (const work of works) {
        if (work.share === 0) {
            continue;
        }
        drawn = work;
        left -= work.share;
        if (left < 0) {
            break;
        }
    }
    return drawn;
}
