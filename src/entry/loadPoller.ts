/**
 * Polls the upstreams of this entry's subset for their load and their cache events.
 */
import { type Clock, RepeatedTask } from "../common/index.js";
import { PollSchedule, type RunnerChooser } from "../decisions/index.js";
import type { EngineClient } from "../upstream/index.js";
import type { Vm } from "../world/index.js";

/** Options of a poller. */
export interface LoadPollerOptions {
    readonly clock: Clock;
    readonly engines: EngineClient;
    readonly runners: RunnerChooser;
    readonly intervalMilliseconds: number;
    /** Maximum number of upstreams polled in a second. */
    readonly pollsPerSecond: number;
    /** Called when an upstream has answered. */
    readonly onAnswer: (upstream: Vm) => void;
    /** Called when an upstream could not be asked. */
    readonly onFailure: (upstream: Vm) => void;
    /** Called at the end of each round. */
    readonly onRound: () => void;
    /** Called when an upstream reports that it is leaving. */
    readonly onLeaving: (upstream: Vm) => void;
}

/** Polls upstreams. */
export class LoadPoller {
    readonly #options: LoadPollerOptions;
    readonly #schedule: PollSchedule;
    readonly #task: RepeatedTask;
    readonly #nextSequence = new Map<string, number>();
    readonly #pending = new Set<string>();
    #hasPolledAll = false;

    constructor(options: LoadPollerOptions) {
        this.#options = options;
        this.#schedule = new PollSchedule(options);
        this.#task = new RepeatedTask({
            run: () => this.#poll(),
            pauseMilliseconds: options.intervalMilliseconds,
        });
    }

    /** Starts to poll. */
    start(): void {
        this.#task.start();
    }

    /** Stops polling. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Returns whether every upstream has been polled once. Before that the entry does not know which versions they have
     * loaded, and would refuse its first callers although there is capacity for them.
     */
    hasPolledAll(): boolean {
        return this.#hasPolledAll;
    }

    /**
     * Polls the upstreams that are due without waiting for the responses, because a frozen upstream would delay the
     * updates of the others. An upstream that has not responded yet is skipped.
     */
    #poll(): void {
        const { runners, clock } = this.#options;
        const subset = new Map(runners.getSubset().map(vm => [vm.id, vm]));
        this.#removeUnselected(subset);
        const candidates = Array.from(subset.keys(), id => ({
            id,
            answeredAt: runners.getAnsweredAt(id),
            isPending: this.#pending.has(id),
        }));
        const polls: Promise<void>[] = [];
        for (const { id, hasCacheEvents } of this.#schedule.take(candidates, clock.monotonic())) {
            this.#pending.add(id);
            polls.push(this.#pollUpstream(subset.get(id)!, hasCacheEvents).finally(() => this.#pending.delete(id)));
        }
        if (!this.#hasPolledAll && polls.length > 0) {
            void Promise.all(polls).then(() => {
                this.#hasPolledAll = true;
            });
        }
        this.#options.onRound();
    }

    #removeUnselected(subset: ReadonlyMap<string, Vm>): void {
        for (const id of this.#nextSequence.keys()) {
            if (!subset.has(id)) {
                this.#nextSequence.delete(id);
            }
        }
    }

    async #pollUpstream(upstream: Vm, hasCacheEvents: boolean): Promise<void> {
        const load = await this.#options.engines.getLoad(upstream);
        if (load.isErr()) {
            this.#options.onFailure(upstream);
            return;
        }
        this.#options.onAnswer(upstream);
        // Upstreams choose their own names, so the report is stored under the VM list's identifier.
        this.#options.runners.addLoadReport({ ...load.value, upstream: upstream.id });
        if (load.value.leaving) {
            this.#options.onLeaving(upstream);
        }
        if (hasCacheEvents && upstream.role === "runner") {
            await this.#readCacheEvents(upstream);
        }
    }

    async #readCacheEvents(runner: Vm): Promise<void> {
        const from = this.#nextSequence.get(runner.id) ?? 0;
        const page = await this.#options.engines.getCacheEvents(runner, from);
        if (page.isErr()) {
            return;
        }
        const { events: cacheEvents, next } = page.value;
        const hasGap = hasSequenceGap(cacheEvents.map(event => event.sequence), from);
        this.#options.runners.addCacheEvents(runner.id, cacheEvents, hasGap);
        this.#nextSequence.set(runner.id, next);
    }
}

function hasSequenceGap(sequences: readonly number[], from: number): boolean {
    let expected = from;
    for (const sequence of sequences) {
        if (sequence !== expected) {
            return true;
        }
        expected += 1;
    }
    return false;
}
