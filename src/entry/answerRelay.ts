/**
 * Relays one engine's answer to a sink, and resumes it when the connection to the engine breaks.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import {
    classifyCallError,
    endOfStream,
    type EngineAnswer,
    type EngineEvent,
    readUsage,
    type TokenUsage,
    type UpstreamFailure,
} from "../upstream/index.js";
import { resumeStream, type StreamResumptionOptions } from "./streamResumption.js";

/** Maximum number of consecutive resumptions without progress before the answer is abandoned. */
const maxResumptions = 3;

/** Options of a relay. */
export interface RelayOptions extends StreamResumptionOptions {
    readonly answer: EngineAnswer;
    /** Called with each event, in order. */
    readonly write: (event: EngineEvent) => Promise<void>;
    /** Called at the first event. */
    readonly onFirstEvent: () => void;
    /**
     * Called with the tokens used, before the event that reports them is passed on. The bill must be stored on a second
     * VM before the end of the answer is sent; otherwise an entry that crashes right after it loses the bill.
     */
    readonly beforeEnd: (usage: TokenUsage) => Promise<Result<void, Failure>>;
}

/**
 * Relays an answer to its end.
 * @param options - The answer and its destination.
 */
export async function relayAnswer(options: RelayOptions): Promise<Result<TokenUsage, UpstreamFailure>> {
    const relay = new Relay(options);
    let { answer } = options;
    for (let resumption = 0;; resumption += 1) {
        const lastId = relay.getLastId();
        const failure = await relay.run(answer);
        if (failure === undefined) {
            return ok(relay.getUsage());
        }
        if (relay.getLastId() > lastId) {
            // An unstable link can still carry a long answer to its end, so only resumptions without progress are
            // limited.
            resumption = 0;
        }
        const mayResume = resumption < maxResumptions && !options.signal.aborted && !relay.hasBillingFailed();
        if (!mayResume) {
            return err(failure);
        }
        const resumed = await resumeStream({ ...options, lastId: relay.getLastId() });
        if (resumed.isErr()) {
            return err({ ...resumed.error, outcome: failure.outcome });
        }
        answer = resumed.value;
    }
}

class Relay {
    readonly #options: RelayOptions;
    #lastId: number;
    #usage: TokenUsage = { inputTokens: 0, cachedTokens: 0, outputTokens: 0 };
    #hasStarted = false;
    #hasBillingFailed = false;

    constructor(options: RelayOptions) {
        this.#options = options;
        this.#lastId = options.lastId;
    }

    getLastId(): number {
        return this.#lastId;
    }

    getUsage(): TokenUsage {
        return this.#usage;
    }

    hasBillingFailed(): boolean {
        return this.#hasBillingFailed;
    }

    async run(answer: EngineAnswer): Promise<UpstreamFailure | undefined> {
        try {
            for await (const event of answer.events) {
                const failure = await this.#handleEvent(event);
                if (failure !== undefined) {
                    return failure;
                }
            }
            return undefined;
        }
        catch (error) {
            return this.#classify(error);
        }
    }

    async #handleEvent(event: EngineEvent): Promise<UpstreamFailure | undefined> {
        if (!this.#hasStarted) {
            this.#hasStarted = true;
            this.#options.onFirstEvent();
        }
        const usage = event.data === endOfStream ? undefined : readUsage(event.data);
        if (usage !== undefined) {
            this.#usage = usage;
            const billed = await this.#options.beforeEnd(usage);
            if (billed.isErr()) {
                this.#hasBillingFailed = true;
                return { failure: billed.error, outcome: "ran" };
            }
        }
        await this.#options.write(event);
        this.#lastId = event.id;
        return undefined;
    }

    #classify(error: unknown): UpstreamFailure {
        const failure = error instanceof Failure ? error : classifyCallError(error, this.#options.runner.id).failure;
        return { failure, outcome: "unknown" };
    }
}
