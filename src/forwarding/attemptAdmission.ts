/**
 * Decides whether an attempt is made now, and at which upstream.
 */
import { err, ok, type Result } from "neverthrow";
import type { RetryBudgetState, WindowedRetryBudget } from "../decisions/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { CrashWatch } from "../quarantine/index.js";
import type { AttemptFailure, AttemptRequest } from "./attempt.js";
import type { Exchange } from "./exchange.js";
import type { ForwardingMetrics } from "./metrics.js";
import type { SelectedUpstream } from "./selectedUpstream.js";
import { fullLoad, type UpstreamSelection, type UpstreamSelectionOptions } from "./upstreamSelection.js";
import type { WaitingRoom } from "./waitingRoom.js";

/** Options of `AttemptAdmission`. */
export interface AttemptAdmissionOptions extends UpstreamSelectionOptions {
    readonly metrics: ForwardingMetrics;
    readonly waitingRoom: WaitingRoom;
    /** Returns whether this node, or another one that would forward the request, can connect to upstreams of a pool. */
    readonly isReachable: (pool: string) => boolean;
    readonly crashWatch: CrashWatch;
    /** Returns the retry budget of a pool. */
    readonly getBudget: (pool: string) => WindowedRetryBudget;
    /** Reports that a retry was not made because the budget of its pool is spent. */
    readonly onBudgetSpent: (pool: string, budget: RetryBudgetState) => void;
}

/** Admits attempts, which are sent at once when they are admitted. */
export class AttemptAdmission {
    readonly #options: AttemptAdmissionOptions;
    readonly #selection: UpstreamSelection;

    constructor(options: AttemptAdmissionOptions, selection: UpstreamSelection) {
        this.#options = options;
        this.#selection = selection;
    }

    /**
     * Waits until an attempt may be made, and takes what it needs: room, a retry of the budget, the trial of a quarantined request.
     * @returns The upstream that was selected, or why the attempt is not made.
     */
    async admit(request: AttemptRequest): Promise<Result<SelectedUpstream, AttemptFailure>> {
        const { exchange } = request;
        if (!exchange.ended.aborted) {
            await exchange.waitForEvaluations();
            await exchange.reply.confirmCaller();
        }
        const reservation = exchange.takeReservation();
        if (exchange.ended.aborted || request.withdrawal?.aborted === true) {
            return err({ kind: "not-made", reason: "ended" });
        }
        if (reservation !== undefined) {
            return ok(reservation);
        }
        const available = this.#check(request);
        if (available.isErr()) {
            return err(available.error);
        }
        const entry = await this.#options.waitingRoom.enter(request);
        if (entry.isErr()) {
            return err(entry.error);
        }
        // A request may be quarantined, and its caller or an upstream may be gone, while it waits.
        const selection = entry.value.hasWaited ? await this.#selectAgain(request) : available;
        return selection.andThen(selected => this.#take(request, selected));
    }

    /**
     * Admits the next attempt of a request whose current one has failed, so that its answer is given up only for one that is made.
     * @param request - The next attempt.
     * @param signal - Ends the wait for room.
     * @returns Whether the next attempt is admitted.
     */
    async reserve(request: AttemptRequest, signal: AbortSignal): Promise<boolean> {
        if (this.#checkReplacement(request).isErr() || !await this.#options.waitingRoom.enterAgain(request, signal)) {
            return false;
        }
        if (signal.aborted) {
            return false;
        }
        return this.#reserve(request, this.#checkReplacement(request));
    }

    /**
     * Admits the next attempt of a request whose current one is silent, if there is room for it now. A full upstream would queue a
     * stream that has started, and the current one may go on earlier.
     * @param request - The next attempt.
     * @returns Whether the next attempt is admitted.
     */
    reserveBeside(request: AttemptRequest): boolean {
        if (request.exchange.isEvaluating || request.only !== undefined) {
            // The request may turn out to crash the upstreams that run it, or is to be sent to one of them alone.
            return false;
        }
        const selection = this.#checkReplacement(request).andThen(selected =>
            request.exchange.reply.hasStarted && selected.pick.load >= fullLoad
                ? err<SelectedUpstream, AttemptFailure>({ kind: "not-made", reason: "no-room" })
                : ok<SelectedUpstream, AttemptFailure>(selected)
        );
        return selection.isOk() && this.#options.waitingRoom.tryEnterBeside(request)
            && this.#reserve(request, selection);
    }

    #reserve(request: AttemptRequest, checked: Result<SelectedUpstream, AttemptFailure>): boolean {
        const selection = checked.andThen(selected => this.#take(request, selected));
        request.exchange.reservation = selection.unwrapOr(undefined);
        return selection.isOk();
    }

    /** Returns the upstream to which a request may be sent that has room, or why it is sent to none. */
    #check(request: AttemptRequest): Result<SelectedUpstream, AttemptFailure> {
        const { exchange, only } = request;
        if (exchange.ended.aborted) {
            return err({ kind: "not-made", reason: "ended" });
        }
        if (only === undefined && exchange.attempts >= exchange.route.maxAttempts) {
            return err({ kind: "not-made", reason: "attempts" });
        }
        const wait = this.#options.crashWatch.getWait(exchange.watchedRequest);
        if (wait !== undefined) {
            return err(this.#createQuarantined(exchange, wait));
        }
        const selected = this.#select(request);
        if (selected.isErr()) {
            return selected;
        }
        if (!this.#hasBudget(request)) {
            this.#options.onBudgetSpent(exchange.pool, this.#options.getBudget(exchange.pool).getState());
            return err({ kind: "not-made", reason: "budget" });
        }
        return request.mayWait() ? selected : err({ kind: "not-made", reason: "no-room" });
    }

    /** Does the same for a request that another upstream works on. An ejected one is not likely to do better than that one. */
    #checkReplacement(request: AttemptRequest): Result<SelectedUpstream, AttemptFailure> {
        return this.#check(request).andThen(selected =>
            selected.pick.reason === "ejected"
                ? err<SelectedUpstream, AttemptFailure>({ kind: "not-made", reason: "nobody" })
                : ok<SelectedUpstream, AttemptFailure>(selected)
        );
    }

    /** Takes what an attempt needs beside room. */
    #take(request: AttemptRequest, selected: SelectedUpstream): Result<SelectedUpstream, AttemptFailure> {
        if (!this.#hasBudget(request)) {
            return err({ kind: "not-made", reason: "budget" });
        }
        // What is admitted as a trial is certainly sent: there is no other trial for a while.
        const wait = this.#options.crashWatch.admit(request.exchange.watchedRequest);
        if (wait !== undefined) {
            return err(this.#createQuarantined(request.exchange, wait));
        }
        this.#takeBudget(request);
        return ok(selected);
    }

    async #selectAgain(request: AttemptRequest): Promise<Result<SelectedUpstream, AttemptFailure>> {
        await request.exchange.reply.confirmCaller();
        return request.exchange.ended.aborted ? err({ kind: "not-made", reason: "ended" }) : this.#select(request);
    }

    /** Returns whether the attempt is no retry, or one that the budget has left beside the reserve. */
    #hasBudget({ exchange, getRetryReserve }: AttemptRequest): boolean {
        const budget = this.#options.getBudget(exchange.pool);
        return !isRetry(exchange) || budget.getRemaining() - getRetryReserve(budget.getAllowed()) >= 1;
    }

    /** Counts the request, or takes its retry from the budget. */
    #takeBudget({ exchange, getRetryReserve }: AttemptRequest): void {
        const budget = this.#options.getBudget(exchange.pool);
        if (!exchange.isCountedInBudget) {
            exchange.isCountedInBudget = true;
            budget.addRequest(exchange.request.sentAt);
        }
        else if (isRetry(exchange)) {
            budget.tryAcquire(getRetryReserve(budget.getAllowed()));
        }
    }

    /** Counts a refusal of a request that is quarantined, and creates its failure. */
    #createQuarantined({ attempts }: Exchange, retryAfterMilliseconds: number): AttemptFailure {
        if (attempts === 0) {
            this.#options.metrics.refusals.inc({ kind: "quarantined" });
        }
        return { kind: "not-made", reason: "quarantined", retryAfterMilliseconds };
    }

    /** Selects an upstream, or tells why the request is not sent to any now. */
    #select({ exchange, prompt, only }: AttemptRequest): Result<SelectedUpstream, AttemptFailure> {
        if (!this.#options.isReachable(exchange.pool)) {
            return err({ kind: "not-made", reason: "unreachable" });
        }
        const excluded = only === undefined ? exchange.excluded : this.#excludeOthers(only);
        const selected = this.#selection.select(exchange, prompt, excluded, exchange.attempts === 0);
        return selected === undefined || this.#selection.isHeapedUp(exchange, selected.pick)
            ? err(this.#selection.createFailure(exchange))
            : ok(selected);
    }

    #excludeOthers({ id, pool }: RegisteredUpstream): ReadonlySet<string> {
        const available = this.#options.registry.getAvailable(pool);
        return new Set(available.map(upstream => upstream.id).filter(other => other !== id));
    }
}

/** Returns whether a further attempt counts as a retry. */
function isRetry({ isCountedInBudget, attempts }: Exchange): boolean {
    return isCountedInBudget && attempts > 0;
}
