/**
 * Sends orders to engines as desired states, and believes only what the engine then reports.
 *
 * Engines that check fencing numbers refuse an order of a former holder. Others obey it, so for them three things stand
 * in its place: the holder looks at its lease right before each order, an order has a short deadline, and the current
 * holder reads the engine back and orders again until the engine reports what is wanted. Until then routing goes by
 * the versions that the engine reports, never by the order.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";

const defaultDeadlineMilliseconds = 2_000;
const readBackDelayMilliseconds = 200;
const defaultAttempts = 5;

/** What an engine is to run. */
export interface EngineOrder {
    readonly fence: number;
    /** Identifiers of the versions, in any order. */
    readonly versions: readonly string[];
    readonly role: string;
}

/** What an engine reports of itself. */
export interface EngineState {
    readonly versions: readonly string[];
    readonly checksFencing: boolean;
}

/** Reaches one engine. */
export interface EngineControl {
    readonly order: (order: EngineOrder, deadlineMilliseconds: number) => Promise<Result<void, Failure>>;
    readonly read: (deadlineMilliseconds: number) => Promise<Result<EngineState, Failure>>;
}

/** Options of a channel. */
export interface OrderChannelOptions {
    /** Gives the fencing number of the lease that orders are sent under; undefined when it is not held. */
    readonly getFencingToken: () => number | undefined;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly deadlineMilliseconds?: number;
    /** How often the engine is ordered and read before giving up. */
    readonly attempts?: number;
    readonly sleep?: (milliseconds: number) => Promise<unknown>;
}

/** What is wanted of an engine. */
export interface DesiredState {
    /** Identifier of the engine, for events. */
    readonly engine: string;
    readonly versions: readonly string[];
    readonly role: string;
}

/** Brings engines to wanted states. */
export class OrderChannel {
    readonly #options: OrderChannelOptions;

    constructor(options: OrderChannelOptions) {
        this.#options = options;
    }

    /**
     * Sends one order, if the lease is held at this moment. Whether the engine obeyed shows in its report only.
     * @param order - Reaches the engine.
     * @param desired - What it is to run.
     */
    async send(order: EngineControl["order"], desired: DesiredState): Promise<Result<void, Failure>> {
        const { getFencingToken, journal, deadlineMilliseconds } = this.#options;
        const fencingToken = getFencingToken();
        if (fencingToken === undefined) {
            return err(createLeaseNotHeldFailure(desired.engine));
        }
        const state = { fence: fencingToken, versions: desired.versions, role: desired.role };
        const ordered = await order(state, deadlineMilliseconds ?? defaultDeadlineMilliseconds);
        if (ordered.isErr() && ordered.error.kind === "stale") {
            journal.write(events.orderRefused, { engine: desired.engine, fence: fencingToken });
        }
        return ordered;
    }

    /**
     * Orders an engine until it reports what is wanted.
     *
     * Ordering again is harmless: an order is the whole wanted state. It is also what mends an engine without fencing
     * checks after a former holder's late order: the next look sees the wrong versions and orders once more.
     * @param control - Reaches the engine.
     * @param desired - What it is to run.
     * @returns What the engine reports, or why it could not be brought there.
     */
    async reconcile(control: EngineControl, desired: DesiredState): Promise<Result<EngineState, Failure>> {
        const deadline = this.#options.deadlineMilliseconds ?? defaultDeadlineMilliseconds;
        let reported: Result<EngineState, Failure> = await control.read(deadline);
        for (let attempt = 0; attempt < (this.#options.attempts ?? defaultAttempts); attempt += 1) {
            if (reported.isOk() && hasSameVersions(reported.value.versions, desired.versions)) {
                return reported;
            }
            const ordered = await this.send(control.order, desired);
            if (ordered.isErr() && ordered.error.kind === "stale") {
                return err(ordered.error);
            }
            await (this.#options.sleep ?? delay)(readBackDelayMilliseconds);
            reported = await control.read(deadline);
        }
        if (reported.isOk() && hasSameVersions(reported.value.versions, desired.versions)) {
            return ok(reported.value);
        }
        this.#options.journal.write(events.orderNotReached, { engine: desired.engine });
        return err(reported.isErr() ? reported.error : createStateNotReachedFailure(desired, reported.value));
    }
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function hasSameVersions(left: readonly string[], right: readonly string[]): boolean {
    const rightVersions = new Set(right);
    return new Set(left).size === rightVersions.size && left.every(version => rightVersions.has(version));
}

function createLeaseNotHeldFailure(engine: string): Failure {
    return new Failure({
        kind: "stale",
        message: `The lease for orders is not held here, so the engine ${engine} was not ordered.`,
        remedy: "Leave the engine to the lease's present holder.",
    });
}

function createStateNotReachedFailure(desired: DesiredState, state: EngineState): Failure {
    return new Failure({
        kind: "upstream-failed",
        message: `The engine ${desired.engine} reports ${state.versions.join(", ")} in place of ${
            desired.versions.join(", ")
        }.`,
        remedy: "Try again later; keep routing by what the engine reports.",
    });
}
