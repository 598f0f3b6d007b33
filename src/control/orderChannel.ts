/**
 * Sends orders to engines as desired states, and relies only on what the engine reports afterwards.
 *
 * Engines that check fencing tokens refuse an order of a former holder. Others accept it, so three measures replace the
 * check for them: the holder checks its lease immediately before each order, an order has a short deadline, and the
 * current holder reads the engine's state and repeats the order until the engine reports the desired state. Until then
 * requests are routed by the versions that the engine reports, never by the order.
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";

const defaultDeadlineMilliseconds = 2_000;
const readBackDelayMilliseconds = 200;
const defaultAttempts = 5;

/** The state that an engine is ordered to reach. */
export interface EngineOrder {
    readonly fence: number;
    /** Identifiers of the versions, in any order. */
    readonly versions: readonly string[];
    readonly role: string;
}

/** The state that an engine reports. */
export interface EngineState {
    readonly versions: readonly string[];
    readonly checksFencing: boolean;
}

/** Communicates with one engine. */
export interface EngineControl {
    readonly order: (order: EngineOrder, deadlineMilliseconds: number) => Promise<Result<void, Failure>>;
    readonly read: (deadlineMilliseconds: number) => Promise<Result<EngineState, Failure>>;
}

/** Options of a channel. */
export interface OrderChannelOptions {
    /** Returns the fencing token of the lease that orders are sent under, or undefined if the lease is not held. */
    readonly getFencingToken: () => number | undefined;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly deadlineMilliseconds?: number;
    /** Maximum number of orders before giving up, each followed by a read of the engine's state. */
    readonly attempts?: number;
    readonly sleep?: (milliseconds: number) => Promise<unknown>;
}

/** The desired state of an engine. */
export interface DesiredState {
    /** Identifier of the engine, for events. */
    readonly engine: string;
    readonly versions: readonly string[];
    readonly role: string;
}

/** Brings engines to desired states. */
export class OrderChannel {
    readonly #options: OrderChannelOptions;

    constructor(options: OrderChannelOptions) {
        this.#options = options;
    }

    /**
     * Sends one order if the lease is held at this moment. Only the engine's report shows whether it followed the
     * order.
     * @param order - Sends the order to the engine.
     * @param desired - The desired state.
     */
    async send(order: EngineControl["order"], desired: DesiredState): Promise<Result<void, Failure>> {
        const { getFencingToken, journal, deadlineMilliseconds } = this.#options;
        const fencingToken = getFencingToken();
        if (fencingToken === undefined) {
            return err(createLeaseNotHeldFailure(desired.engine));
        }
        const state = { fence: fencingToken, versions: desired.versions, role: desired.role };
        const result = await order(state, deadlineMilliseconds ?? defaultDeadlineMilliseconds);
        if (result.isErr() && result.error.kind === "stale") {
            journal.write(events.orderRefused, { engine: desired.engine, fence: fencingToken });
        }
        return result;
    }

    /**
     * Orders an engine until it reports the desired state.
     *
     * Repeating an order is harmless, since an order contains the complete desired state. The repetition also corrects
     * an engine without fencing checks after a late order of a former holder: the next read shows the wrong versions,
     * and the engine is ordered once more.
     * @param control - Communicates with the engine.
     * @param desired - The desired state.
     * @returns The state that the engine reports, or the reason why it did not reach the desired state.
     */
    async reconcile(control: EngineControl, desired: DesiredState): Promise<Result<EngineState, Failure>> {
        const deadline = this.#options.deadlineMilliseconds ?? defaultDeadlineMilliseconds;
        let reported: Result<EngineState, Failure> = await control.read(deadline);
        for (let attempt = 0; attempt < (this.#options.attempts ?? defaultAttempts); attempt += 1) {
            if (reported.isOk() && hasSameVersions(reported.value.versions, desired.versions)) {
                return reported;
            }
            const result = await this.send(control.order, desired);
            if (result.isErr() && result.error.kind === "stale") {
                return err(result.error);
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
        message: `This node does not hold the lease for orders, so no order was sent to the engine ${engine}.`,
        remedy: "Leave the engine to the current holder of the lease.",
    });
}

function createStateNotReachedFailure(desired: DesiredState, state: EngineState): Failure {
    return new Failure({
        kind: "upstream-failed",
        message: `The engine ${desired.engine} reports ${state.versions.join(", ")} instead of ${
            desired.versions.join(", ")
        }.`,
        remedy: "Try again later, and route by the versions that the engine reports.",
    });
}
