/**
 * Gives orders to model engines and reads back what they run (docs/design/interfaces.md, "Model engine").
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import { Failure } from "../common/index.js";
import type { EngineOrder, EngineState } from "../control/index.js";
import type { Vm } from "../world/index.js";
import { getOrigin } from "./engineClient.js";
import { classifyCallError, classifyRefusal } from "./upstreamFailure.js";

const staleStatus = 409;

const reportSchema = z.object({
    versions: z.array(z.string()),
    checksFencing: z.boolean().default(false),
    running: z.number(),
    waiting: z.number(),
    leaving: z.boolean(),
});

/** What an engine reports of itself to whoever orders it. */
export interface EngineReport extends EngineState {
    /** Whether it works on nothing. */
    readonly isIdle: boolean;
    readonly isLeaving: boolean;
}

/** Orders engines. */
export class EngineOrders {
    readonly #dispatcher: Dispatcher;

    constructor(dispatcher: Dispatcher) {
        this.#dispatcher = dispatcher;
    }

    /**
     * Reads what an engine runs.
     * @param runner - The VM of the engine.
     * @param deadlineMilliseconds - How long it may take.
     */
    async read(runner: Vm, deadlineMilliseconds: number): Promise<Result<EngineReport, Failure>> {
        const read = await this.#send(runner, "GET", "/load", undefined, deadlineMilliseconds);
        return read.andThen(body => {
            const parsed = reportSchema.safeParse(body);
            if (!parsed.success) {
                return err(createUnreadableFailure(runner, parsed.error));
            }
            const { versions, checksFencing, running, waiting, leaving } = parsed.data;
            return ok({ versions, checksFencing, isIdle: running + waiting === 0, isLeaving: leaving });
        });
    }

    /**
     * Orders an engine into a state. That it obeyed shows in its report only.
     * @param runner - The VM of the engine.
     * @param order - The whole state.
     * @param deadlineMilliseconds - How long it may take.
     */
    async order(runner: Vm, order: EngineOrder, deadlineMilliseconds: number): Promise<Result<void, Failure>> {
        const sent = await this.#send(runner, "POST", "/orders", order, deadlineMilliseconds);
        return sent.map(() => undefined);
    }

    async #send(
        runner: Vm,
        method: "GET" | "POST",
        path: string,
        body: object | undefined,
        deadlineMilliseconds: number,
    ): Promise<Result<unknown, Failure>> {
        try {
            const response = await request(`${getOrigin(runner)}${path}`, {
                method,
                dispatcher: this.#dispatcher,
                // One bound for connecting, sending and reading: an order that lies in a queue for longer is given up,
                // so that it can't reach the engine long after another holder's.
                signal: AbortSignal.timeout(deadlineMilliseconds),
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            if (response.statusCode === 200) {
                return ok(await response.body.json());
            }
            await response.body.dump();
            return response.statusCode === staleStatus && method === "POST"
                ? err(createStaleFailure(runner))
                : err(classifyRefusal(response.statusCode, runner.id).failure);
        }
        catch (error) {
            return err(classifyCallError(error, runner.id).failure);
        }
    }
}

function createStaleFailure(runner: Vm): Failure {
    return new Failure({
        kind: "stale",
        message: `The engine ${runner.id} has seen a newer fencing number.`,
        remedy: "Leave the engine to the lease's present holder.",
    });
}

function createUnreadableFailure(runner: Vm, cause: unknown): Failure {
    return new Failure({
        kind: "protocol",
        message: `The engine ${runner.id} reports its load in a form that cannot be read.`,
        remedy: "Have it report versions, running, waiting and leaving.",
        cause,
    });
}
