/**
 * Claims keys for the requests of this node.
 *
 * What can go wrong, and why a key still runs at most once:
 *
 * - The same key comes in at two entries. Both claims reach the log; the first in its order wins, and the other entry
 *   reads the winner. Each call of `claim` carries an identifier of its own, so a repeated request identifier does
 *   not make two entries the same claimant.
 * - The entry dies before the write: nothing stands in the log, the caller's next attempt is granted. It dies after
 *   the write, or after the dispatch: the claim stands without an outcome and nobody can know whether it ran, so
 *   others read `held` until the key expires. That is "unknown" to the caller, never "not run".
 * - The claimant is paused after it was granted the key. Nobody takes a key over from a holder, so it may go on when it
 *   wakes, except when it slept for so long that the key expired and ran elsewhere. `isStillValid` lapses long before
 *   that, on the monotonic clock, counted from before the claim was written; `confirm` then asks the log again.
 * - The answer to the write is lost, or the collector is cut off. The same identifier is written again through another
 *   collector: a second record of it counts for nothing. If no answer comes in time the claimant gives up, does not
 *   dispatch, and writes a release. The release holds even if the claim reaches the log after it.
 */
import { err, ok, type Result } from "neverthrow";
import { createHash, randomUUID } from "node:crypto";
import type { Clock, Failure } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import { ClaimFailure } from "./claimFailure.js";
import { type ClaimDecision, type ClaimOperation, getPurpose } from "./claimOperation.js";
import type { PoolDecision } from "./collectorPool.js";

const defaultValidityMilliseconds = 20_000;
const defaultRetryTimeoutMilliseconds = 10 * 60_000;
const initialRetryPauseMilliseconds = 500;
const maxRetryPauseMilliseconds = 30_000;
/** Longest outcome that is kept; a longer one is kept as "completed" without its text. */
export const maxOutcomeCharacters = 16_384;

/** What is wanted. */
export interface ClaimRequest {
    readonly key: string;
    /** What to claim the key for. */
    readonly value: string;
    readonly requestId: string;
}

/** The key belongs to this call. */
export interface GrantedClaim {
    readonly kind: "granted";
    readonly key: string;
    readonly value: string;
    /** Names the claim in `complete`, `release` and `confirm`. */
    readonly claimId: string;
    /** Tells whether the request may still be dispatched without asking the log again by `confirm`. */
    readonly isStillValid: () => boolean;
}

/** The key belongs to another claim. */
export interface DeniedClaim {
    /** `held`: the other has no outcome yet, and perhaps never will. `completed`: it has. */
    readonly kind: "held" | "completed";
    /** What the key is claimed for. */
    readonly value: string;
    /** The outcome that the other left; empty when it was too long to keep. */
    readonly outcome?: string;
}

/** How a claim ended. */
export type ClaimVerdict = GrantedClaim | DeniedClaim;

/** Asks a partition's collector, wherever it runs. Undefined when it cannot be reached. */
export type RemoteDecider = (
    partition: number,
    operation: ClaimOperation,
) => Promise<PoolDecision | undefined>;

/** Options of a claim client. */
export interface ClaimClientOptions {
    /** How many partitions there are; the same on all nodes, for ever. */
    readonly partitions: number;
    readonly clock: Clock;
    readonly journal: Journal;
    /** Asks the partition's own collector on another node; undefined when that is this node or it is out of reach. */
    readonly decideRemotely: RemoteDecider;
    /** Decides on this node. */
    readonly decideLocally: (
        partition: number,
        operations: readonly ClaimOperation[],
    ) => Promise<readonly PoolDecision[]>;
    /** How long a grant may be used without asking again. Must be far below the lifetime of a run's key. */
    readonly validityMilliseconds?: number;
    /** How long to go on writing a release or an outcome that the log did not confirm. */
    readonly retryTimeoutMilliseconds?: number;
    readonly createId?: () => string;
}

/** Claims, completes and releases keys. */
export class ClaimClient {
    readonly #options: ClaimClientOptions;
    readonly #createId: () => string;
    readonly #retryTimers = new Set<NodeJS.Timeout>();
    #isStopped = false;

    constructor(options: ClaimClientOptions) {
        this.#options = options;
        this.#createId = options.createId ?? randomUUID;
    }

    /** Gives up the releases and outcomes that still wait for the log. */
    stop(): void {
        this.#isStopped = true;
        for (const timer of this.#retryTimers) {
            clearTimeout(timer);
        }
        this.#retryTimers.clear();
    }

    /**
     * Claims a key. Only a granted claim may be dispatched. After a failure this node must not dispatch; its own
     * caller may be told "not run", and whoever else asks for the key is told what the log says.
     * @param request - What is wanted.
     */
    async claim(request: ClaimRequest): Promise<Result<ClaimVerdict, ClaimFailure>> {
        const startedAt = this.#options.clock.monotonic();
        const { key, value } = request;
        const operation: ClaimOperation = { kind: "claim", id: `${request.requestId}/${this.#createId()}`, key, value };
        const decided = await this.#decide(operation);
        if (decided.isErr()) {
            if (decided.error.mayHaveTakenEffect && getPurpose(key) === "run") {
                this.#options.journal.write(events.claimAbandoned, { request: request.requestId, claim: operation.id });
                this.#scheduleRetry({ ...operation, kind: "release" }, startedAt);
            }
            return err(decided.error);
        }
        return this.#createVerdict(operation, decided.value, startedAt);
    }

    /**
     * Asks the log again whether a granted claim still stands, for a claimant whose grant has lapsed.
     * @param grant - The grant.
     * @returns A fresh grant, or what the key belongs to now.
     */
    async confirm(grant: GrantedClaim): Promise<Result<ClaimVerdict, ClaimFailure>> {
        const startedAt = this.#options.clock.monotonic();
        const operation: ClaimOperation = { kind: "claim", id: grant.claimId, key: grant.key, value: grant.value };
        const decided = await this.#decide(operation);
        return decided.andThen(decision => this.#createVerdict(operation, decision, startedAt));
    }

    /**
     * Writes the outcome of a run, for whoever asks for the key again.
     * @param options - The granted claim and its outcome.
     */
    async complete(
        options: { readonly key: string; readonly claimId: string; readonly value: string; readonly outcome: string; },
    ): Promise<Result<void, Failure>> {
        const outcome = options.outcome.length > maxOutcomeCharacters ? "" : options.outcome;
        const operation: ClaimOperation = {
            kind: "complete",
            id: options.claimId,
            key: options.key,
            value: options.value,
            outcome,
        };
        const startedAt = this.#options.clock.monotonic();
        const decided = await this.#decide(operation);
        if (decided.isErr()) {
            this.#scheduleRetry(operation, startedAt);
        }
        return decided.map(() => undefined);
    }

    /**
     * Gives a key back that was not dispatched. Only when this succeeds may others be told that the key did not run.
     * @param options - The granted claim.
     */
    async release(
        options: { readonly key: string; readonly claimId: string; readonly value: string; },
    ): Promise<Result<void, Failure>> {
        const operation = { kind: "release", id: options.claimId, key: options.key, value: options.value } as const;
        const startedAt = this.#options.clock.monotonic();
        const decided = await this.#decide(operation);
        if (decided.isErr()) {
            this.#scheduleRetry(operation, startedAt);
        }
        return decided.map(() => undefined);
    }

    #createVerdict(
        operation: ClaimOperation,
        decision: ClaimDecision,
        startedAt: number,
    ): Result<ClaimVerdict, ClaimFailure> {
        switch (decision.verdict) {
            case "granted":
                return ok(this.#createGrant(operation, startedAt));
            case "held":
            case "completed":
                return ok({ kind: decision.verdict, value: decision.value, outcome: decision.outcome });
            case "released":
                return err(new ClaimFailure(false));
        }
    }

    #createGrant({ id, key, value }: ClaimOperation, startedAt: number): GrantedClaim {
        const validityMilliseconds = this.#options.validityMilliseconds ?? defaultValidityMilliseconds;
        const isStillValid = () => this.#options.clock.monotonic() - startedAt < validityMilliseconds;
        return { kind: "granted", key, value, claimId: id, isStillValid };
    }

    async #decide(operation: ClaimOperation): Promise<Result<ClaimDecision, ClaimFailure>> {
        const partition = getPartition(operation.key, this.#options.partitions);
        const remote = await this.#options.decideRemotely(partition, operation);
        if (remote?.decision !== undefined) {
            return ok(remote.decision);
        }
        const [local] = await this.#options.decideLocally(partition, [operation]);
        if (local.decision !== undefined) {
            return ok(local.decision);
        }
        return err(new ClaimFailure(local.mayHaveTakenEffect || (remote?.mayHaveTakenEffect ?? false)));
    }

    /** Goes on writing a release or an outcome that the log did not confirm, until it does or the time is over. */
    #scheduleRetry(
        operation: ClaimOperation,
        startedAt: number,
        pauseMilliseconds = initialRetryPauseMilliseconds,
    ): void {
        if (this.#isStopped) {
            return;
        }
        const timer = setTimeout(async () => {
            this.#retryTimers.delete(timer);
            const decided = await this.#decide(operation);
            const age = this.#options.clock.monotonic() - startedAt;
            if (decided.isErr() && age < (this.#options.retryTimeoutMilliseconds ?? defaultRetryTimeoutMilliseconds)) {
                const nextPauseMilliseconds = Math.min(pauseMilliseconds * 2, maxRetryPauseMilliseconds);
                this.#scheduleRetry(operation, startedAt, nextPauseMilliseconds);
            }
        }, pauseMilliseconds);
        timer.unref();
        this.#retryTimers.add(timer);
    }
}

/**
 * Gives the partition of a key.
 * @param key - The key.
 * @param partitions - How many partitions there are.
 */
export function getPartition(key: string, partitions: number): number {
    return createHash("sha1").update(key).digest().readUInt32BE(0) % partitions;
}
