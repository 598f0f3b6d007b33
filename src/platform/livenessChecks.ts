/**
 * Finds out whether the process of an upstream has outlived the end of one of its answers.
 *
 * The kernel closes the connections of a killed process in order, one after the other and the listening one last, and accepts further
 * ones until then. An end in order or a connection that opens shows nothing therefore. What shows it is an answer to a request that was
 * sent after that end: only the process itself gives one.
 */
import { ReadTimeout } from "../common/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { Liveness } from "../reachability/index.js";

/** Time within which an upstream has to answer. It does so in a round trip, and later where the request waits for a free slot. */
const maxWaitMilliseconds = 1_000;

/** Asks an upstream for any answer. Calls `onSent` when the request is written. */
export type LivenessRequest = (
    upstream: RegisteredUpstream,
    options: { readonly onSent: () => void; readonly signal: AbortSignal; },
) => Promise<Liveness>;

/** An answer whose end waits to be confirmed. */
interface Waiter {
    /** Number of the moment at which its end was read. */
    readonly endedAt: number;
    readonly resolve: (liveness: Liveness) => void;
}

/** The ends at one upstream that wait to be confirmed. */
interface WaitingEnds {
    readonly waiters: Set<Waiter>;
    isAsking: boolean;
    /** Whether the request that is open was written. */
    isSent: boolean;
}

/** Confirms the ends of answers. Ends that wait at the same time share a request. */
export class LivenessChecks {
    readonly #ask: LivenessRequest;
    /** By the life of the upstream. */
    readonly #waiting = new Map<string, WaitingEnds>();
    /** Number of the present moment. Each event has one of its own, so that their order is certain. */
    #moment = 0;

    /** @param ask - Asks an upstream. */
    constructor(ask: LivenessRequest) {
        this.#ask = ask;
    }

    /** Returns the number of this moment, for `addAnswer`. */
    getMoment(): number {
        this.#moment += 1;
        return this.#moment;
    }

    /**
     * Waits until an upstream has answered something that was sent after now.
     * @param upstream - The upstream, as it was registered when the answer was requested that has ended.
     * @param signal - Ends the wait.
     * @returns Whether it has. False also when it could not be asked.
     */
    async confirm(upstream: RegisteredUpstream, signal: AbortSignal): Promise<boolean> {
        return await this.check(upstream, signal) === "running";
    }

    /** Does the same, and returns what the upstream has shown. */
    check(upstream: RegisteredUpstream, signal: AbortSignal): Promise<Liveness> {
        return new Promise(resolve => {
            const key = getKey(upstream);
            const ends = this.#waiting.get(key) ?? {
                waiters: new Set<Waiter>(),
                isAsking: false,
                isSent: false,
            };
            this.#waiting.set(key, ends);
            const finish = (liveness: Liveness): void => {
                timeout.clear();
                signal.removeEventListener("abort", giveUp);
                ends.waiters.delete(waiter);
                resolve(liveness);
            };
            const giveUp = (): void => finish("unasked");
            const waiter = { endedAt: this.getMoment(), resolve: finish };
            const timeout = new ReadTimeout(maxWaitMilliseconds, () => finish(ends.isSent ? "unanswered" : "unasked"));
            ends.waiters.add(waiter);
            signal.addEventListener("abort", giveUp);
            if (signal.aborted) {
                giveUp();
            }
            else if (!ends.isAsking) {
                void this.#askWhileAnyWaits(upstream, key, ends);
            }
        });
    }

    /**
     * Records an answer to any request, which confirms what had ended before that request was sent.
     * @param upstream - The upstream that has answered.
     * @param sentAt - The moment at which its request was sent.
     */
    addAnswer(upstream: RegisteredUpstream, sentAt: number): void {
        const ends = this.#waiting.get(getKey(upstream));
        if (ends !== undefined) {
            resolveEarlier(ends, sentAt, "running");
        }
    }

    /** Asks once at a time. What has ended after a request was sent needs another one. */
    async #askWhileAnyWaits(upstream: RegisteredUpstream, key: string, ends: WaitingEnds): Promise<void> {
        ends.isAsking = true;
        while (ends.waiters.size > 0) {
            const controller = new AbortController();
            const timeout = new ReadTimeout(maxWaitMilliseconds, () => controller.abort());
            let sentAt: number | undefined = undefined;
            const onSent = (): void => {
                sentAt = this.getMoment();
                ends.isSent = true;
            };
            ends.isSent = false;
            const liveness = await this.#ask(upstream, { onSent, signal: controller.signal });
            timeout.clear();
            const isInOrder = sentAt !== undefined || liveness !== "running";
            resolveEarlier(ends, sentAt ?? this.getMoment(), isInOrder ? liveness : "unasked");
        }
        ends.isAsking = false;
        this.#waiting.delete(key);
    }
}

function resolveEarlier({ waiters }: WaitingEnds, moment: number, liveness: Liveness): void {
    for (const waiter of waiters) {
        if (waiter.endedAt < moment) {
            waiter.resolve(liveness);
        }
    }
}

/** Returns a key that differs for an upstream that has started anew. */
function getKey({ id, address, startedAt }: RegisteredUpstream): string {
    return `${id} ${address} ${startedAt}`;
}
