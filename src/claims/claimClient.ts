/**
 * Claims keys for the requests of this node.
 *
 * Failures, and why a key still runs at most once:
 *
 * - The same key arrives at two entries. Both claims reach the log; the first one in its order wins, and the other
 *   entry reads the winner. Each call of `claim` has its own identifier, so a repeated request identifier does not make
 *   two entries the same claimant.
 * - The entry dies. If it dies before the write, the log holds no claim, and the next attempt of the caller is granted.
 *   If it dies after the write or the dispatch, the claim has no outcome, and it is unknown whether the request ran.
 *   Others read `held` until the key expires, which callers receive as "unknown", never as "not run".
 * - The claimant is paused after the grant. No other claim takes over a held key, so the claimant may continue after
 *   the pause, unless the key has expired in the meantime and ran elsewhere. `isStillValid` becomes false long before
 *   that: it measures the time since before the claim was written, on the monotonic clock. `confirm` then reads the
 *   state from the log.
 * - The response to the write is lost, or the collector is cut off. The same operation is written again through another
 *   collector; folds ignore the second record of an identifier. Without a decision in time, the claimant does not
 *   dispatch and writes a release. The release is effective even if the claim reaches the log after it.
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
/** Maximum length of a stored outcome. A longer one is stored as "completed" without its text. */
export const maxOutcomeCharacters = 16_384;

/** A request to claim a key. */
export interface ClaimRequest {
    readonly key: string;
    /** The value that the key is claimed for. */
    readonly value: string;
    readonly requestId: string;
}

/** A claim that holds the key for this call. */
export interface GrantedClaim {
    readonly kind: "granted";
    readonly key: string;
    readonly value: string;
    /** Identifies the claim in `complete`, `release` and `confirm`. */
    readonly claimId: string;
    /** Returns whether the request may still be dispatched without a call of `confirm`. */
    readonly isStillValid: () => boolean;
}

/** A claim that was denied because another one holds the key. */
export interface DeniedClaim {
    /** `held`: the other claim has no outcome yet, and may never have one. `completed`: it has an outcome. */
    readonly kind: "held" | "completed";
    /** The value that the key is claimed for. */
    readonly value: string;
    /** The outcome of the other claim; empty when it was too long to store. */
    readonly outcome?: string;
}

/** Result of a claim. */
export type ClaimVerdict = GrantedClaim | DeniedClaim;

/**
 * Requests a decision from the collector of a partition. Returns undefined when that is this node or when it is
 * unreachable.
 */
export type RemoteDecider = (
    partition: number,
    operation: ClaimOperation,
) => Promise<PoolDecision | undefined>;

/** Options of a claim client. */
export interface ClaimClientOptions {
    /** Number of partitions. It must be the same on all nodes and must never change. */
    readonly partitions: number;
    readonly clock: Clock;
    readonly journal: Journal;
    /**
     * Requests a decision from the partition's collector on another node. Returns undefined when that is this node or
     * when it is unreachable.
     */
    readonly decideRemotely: RemoteDecider;
    /** Decides operations on this node. */
    readonly decideLocally: (
        partition: number,
        operations: readonly ClaimOperation[],
    ) => Promise<readonly PoolDecision[]>;
    /** How long a grant is valid without `confirm`. Must be far below the lifetime of a run's key. */
    readonly validityMilliseconds?: number;
    /** How long to retry the write of a release or an outcome that the log did not confirm. */
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

    /** Cancels the retries of releases and outcomes that the log did not confirm. */
    stop(): void {
        this.#isStopped = true;
        for (const timer of this.#retryTimers) {
            clearTimeout(timer);
        }
        this.#retryTimers.clear();
    }

    /**
     * Claims a key. Only a granted claim may be dispatched. After a failure, this node must not dispatch. It may answer
     * its own caller with "not run"; other callers of the key receive the state that the log holds.
     * @param request - The request.
     */
    async claim(request: ClaimRequest): Promise<Result<ClaimVerdict, ClaimFailure>> {
        const startedAt = this.#options.clock.monotonic();
        const { key, value } = request;
        const operation: ClaimOperation = { kind: "claim", id: `${request.requestId}/${this.#createId()}`, key, value };
        const decided = await this.#decide(operation);
        if (decided.isErr()) {
            if (decided.error.mayHaveTakenEffect && getPurpose(key) === "run") {
                this.#options.journal.write(events.claimAbandoned, { request: request.requestId, claim: operation.id });
                // The collector must know of the release before the caller's next attempt reaches it.
                void this.#decideWithRetries({ ...operation, kind: "release" });
            }
            return err(decided.error);
        }
        return this.#createVerdict(operation, decided.value, startedAt);
    }

    /**
     * Confirms with the log that a granted claim still holds its key, for a claimant whose grant is no longer valid.
     * @param grant - The grant.
     * @returns A new grant, or the claim that holds the key now.
     */
    async confirm(grant: GrantedClaim): Promise<Result<ClaimVerdict, ClaimFailure>> {
        const startedAt = this.#options.clock.monotonic();
        const operation: ClaimOperation = { kind: "claim", id: grant.claimId, key: grant.key, value: grant.value };
        const decided = await this.#decide(operation);
        return decided.andThen(decision => this.#createVerdict(operation, decision, startedAt));
    }

    /**
     * Writes the outcome of a run, for later callers of the key.
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
        return (await this.#decideWithRetries(operation)).map(() => undefined);
    }

    /**
     * Releases a key that was not dispatched. Other callers may receive "not run" only after this succeeds.
     * @param options - The granted claim.
     */
    async release(
        options: { readonly key: string; readonly claimId: string; readonly value: string; },
    ): Promise<Result<void, Failure>> {
        const operation = { kind: "release", id: options.claimId, key: options.key, value: options.value } as const;
        return (await this.#decideWithRetries(operation)).map(() => undefined);
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
            case "releasing":
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

    /** Writes a release or an outcome. Returns after the first attempt; further ones follow when it has failed. */
    async #decideWithRetries(operation: ClaimOperation): Promise<Result<ClaimDecision, ClaimFailure>> {
        const startedAt = this.#options.clock.monotonic();
        const decided = await this.#decide(operation);
        if (decided.isErr()) {
            this.#scheduleRetry(operation, startedAt);
        }
        return decided;
    }

    /** Retries the write of a release or an outcome until the log confirms it or the retry timeout is over. */
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
 * Returns the partition of a key.
 * @param key - The key.
 * @param partitions - Number of partitions.
 */
export function getPartition(key: string, partitions: number): number {
    return createHash("sha1").update(key).digest().readUInt32BE(0) % partitions;
}
