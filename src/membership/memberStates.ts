/**
 * The states of members, which follow from their heartbeats.
 */
import { events, type Journal } from "../events/index.js";

/** A member counts as dead after this multiple of the suspicion timeout. */
const deadTimeoutFactor = 3;

/** State of a member as estimated from its heartbeat. */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";

/** What the state of a member follows from. */
export interface MemberSigns {
    /** Identifier of the member. */
    readonly id: string;
    /** Milliseconds since its heartbeat last increased, or undefined if none was received. */
    readonly heartbeatAge: number | undefined;
    readonly isLeaving: boolean;
    /** Age of a heartbeat from which its node is suspected, in milliseconds. */
    readonly suspicionTimeout: number;
}

/** Determines the states of members and logs their changes. */
export class MemberStates {
    readonly #journal: Journal;
    readonly #states = new Map<string, MemberState>();

    constructor(journal: Journal) {
        this.#journal = journal;
    }

    /** Returns the state of a member, and logs it if it has changed. */
    determine(signs: MemberSigns): MemberState {
        const state = getState(signs);
        this.#record(signs.id, state);
        return state;
    }

    /**
     * Removes the last state of a member.
     * @param id - Its identifier.
     */
    remove(id: string): void {
        this.#states.delete(id);
    }

    #record(id: string, state: MemberState): void {
        const before = this.#states.get(id);
        if (before === state) {
            return;
        }
        this.#states.set(id, state);
        // The first state of a newly listed member is not logged if it is "dead": in a large fleet, that would be one
        // line for each other node at every start.
        if (before !== undefined || state !== "dead") {
            this.#journal.write(events.memberChanged, { member: id, state, before });
        }
    }
}

function getState({ heartbeatAge, isLeaving, suspicionTimeout }: MemberSigns): MemberState {
    if (heartbeatAge === undefined || heartbeatAge > suspicionTimeout * deadTimeoutFactor) {
        return "dead";
    }
    if (isLeaving) {
        return "leaving";
    }
    return heartbeatAge > suspicionTimeout ? "suspect" : "alive";
}
