/**
 * Sends orders to model engines and reads their reported state (docs/design/interfaces.md, "Model engine").
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import { Failure, readDocument } from "../common/index.js";
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

/** State that an engine reports to the sender of its orders. */
export interface EngineReport extends EngineState {
    /** Whether it has no running or waiting requests. */
    readonly isIdle: boolean;
    readonly isLeaving: boolean;
}

/** Sends orders to engines. */
export class EngineOrders {
    readonly #dispatcher: Dispatcher;

    constructor(dispatcher: Dispatcher) {
        this.#dispatcher = dispatcher;
    }

    /**
     * Reads the state of an engine.
     * @param runner - The VM of the engine.
     * @param deadlineMilliseconds - Timeout of the call.
     */
    async read(runner: Vm, deadlineMilliseconds: number): Promise<Result<EngineReport, Failure>> {
        const response = await this.#send(runner, "GET", "/load", undefined, deadlineMilliseconds);
        return response.andThen(body => {
            const parsed = reportSchema.safeParse(body);
            if (!parsed.success) {
                return err(createUnreadableFailure(runner, parsed.error));
            }
            const { versions, checksFencing, running, waiting, leaving } = parsed.data;
            return ok({ versions, checksFencing, isIdle: running + waiting === 0, isLeaving: leaving });
        });
    }

    /**
     * Orders an engine into a state. Only the engine's report shows whether the order took effect.
     * @param runner - The VM of the engine.
     * @param order - The complete state.
     * @param deadlineMilliseconds - Timeout of the call.
     */
    async order(runner: Vm, order: EngineOrder, deadlineMilliseconds: number): Promise<Result<void, Failure>> {
        const response = await this.#send(runner, "POST", "/orders", order, deadlineMilliseconds);
        return response.map(() => undefined);
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
                // One timeout covers connecting, sending and reading. An order that is queued for longer is given up, so that it
                // cannot reach the engine long after the order of another lease holder.
                signal: AbortSignal.timeout(deadlineMilliseconds),
                headers: body === undefined ? {} : { "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            if (response.statusCode === 200) {
                return ok(JSON.parse(await readDocument(response.body)));
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
        message: `The engine ${runner.id} has seen a newer fencing token.`,
        remedy: "Leave the engine to the current lease holder.",
    });
}

function createUnreadableFailure(runner: Vm, cause: unknown): Failure {
    return new Failure({
        kind: "protocol",
        message: `The engine ${runner.id} sends a malformed load report.`,
        remedy: "Configure the engine to report versions, running, waiting and leaving.",
        cause,
    });
}
