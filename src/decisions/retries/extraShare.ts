/**
 * The part that one node may take of the retries that all nodes share.
 */
import type { Clock } from "../../common/index.js";

/** Advance of the clock that counts suspensions over the other one, from which on a suspension is assumed. */
const minSuspensionMilliseconds = 250;

/** Options of `ExtraShare`. */
export interface ExtraShareOptions {
    /** Does not count the time during which the machine is suspended. */
    readonly clock: Clock;
    /** Also counts that time. A wall clock that is set forward looks like a suspension to it. */
    readonly suspensionClock: Clock;
    /** Length of the window of the budget, in milliseconds. */
    readonly windowMilliseconds: number;
    /** Returns the number of nodes that may be active, this one among them. */
    readonly getNodeCount: () => number;
    /** Returns the time since the list of nodes was last known to be complete, in milliseconds. */
    readonly getListAge: () => number;
    /** Returns whether the other nodes can read in their list that this one exists. */
    readonly isListed: () => boolean;
}

/**
 * Gives a node its part of what all nodes may do together in a window, as far as the others count on it. A process does not know what an
 * earlier one has used at the same machine, nor what it has used itself before its clock jumped, and its window begins without that. Nodes
 * that do not know each other would share among too few.
 */
export class ExtraShare {
    readonly #options: ExtraShareOptions;
    /** Monotonic time of the suspension clock from which the window holds all that this machine has used. */
    #knownFrom: number;
    #suspendedMilliseconds: number;

    constructor(options: ExtraShareOptions) {
        this.#options = options;
        this.#knownFrom = options.suspensionClock.monotonic() + options.windowMilliseconds;
        this.#suspendedMilliseconds = this.#getSuspended();
    }

    /** Returns the part, from 0 to 1. */
    get(): number {
        this.#handleSuspension();
        const { suspensionClock, windowMilliseconds, getNodeCount, getListAge, isListed } = this.#options;
        if (suspensionClock.monotonic() < this.#knownFrom || getListAge() >= windowMilliseconds || !isListed()) {
            return 0;
        }
        return 1 / Math.max(1, getNodeCount());
    }

    #handleSuspension(): void {
        const suspended = this.#getSuspended();
        if (suspended - this.#suspendedMilliseconds >= minSuspensionMilliseconds) {
            this.#knownFrom = this.#options.suspensionClock.monotonic() + this.#options.windowMilliseconds;
        }
        this.#suspendedMilliseconds = suspended;
    }

    #getSuspended(): number {
        const { clock, suspensionClock } = this.#options;
        return suspensionClock.monotonic() - clock.monotonic();
    }
}
