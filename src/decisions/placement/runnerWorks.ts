/**
 * Records requests on runners from their start to their end: load, caches, times and failures.
 */
import type { Clock } from "../../common/index.js";
import { parseLoadHeader } from "./loadHeader.js";
import type { PlacementOptions } from "./options.js";
import type { Placement, WorkResult } from "./placement.js";
import type { PrefixTable } from "./prefixTable.js";
import { getPrefillTokens, type Runner } from "./runner.js";
import { Work } from "./work.js";

/** Options of `RunnerWorks`. */
export interface RunnerWorksOptions {
    readonly clock: Clock;
    readonly options: PlacementOptions;
    readonly prefixes: PrefixTable;
    /** Ejects an upstream for a while, with the reason for the event. */
    readonly eject: (upstream: string, reason: string) => void;
}

/** Records the requests of one entry. */
export class RunnerWorks {
    readonly #options: RunnerWorksOptions;

    constructor(options: RunnerWorksOptions) {
        this.#options = options;
    }

    /** Records the start of a request on a runner. */
    start(runner: Runner, placement: Placement): Work {
        const { clock, prefixes } = this.#options;
        const now = clock.monotonic();
        const uncachedBlocks = placement.blocks.length - placement.cachedBlocks;
        const modelledMilliseconds = runner.getModelledWait(now, uncachedBlocks);
        const isIdle = runner.getLoad(now) < runner.load.getCapacity() / 2;
        runner.load.changeOwnRequests(1, now);
        for (const block of placement.blocks) {
            prefixes.add(runner.vm.id, block);
        }
        const work: Work = new Work({
            firstToken: milliseconds => {
                runner.removeWaiting(work);
                if (isIdle) {
                    runner.poolStatistics.addPrefillSample(milliseconds / getPrefillTokens(uncachedBlocks));
                }
                this.#recordFirstToken(runner, milliseconds, modelledMilliseconds);
            },
            load: header => this.#applyLoadHeader(runner, header),
            finish: result => {
                runner.removeWaiting(work);
                runner.load.changeOwnRequests(-1, clock.monotonic());
                this.#recordResult(runner, result);
            },
        });
        runner.addWaiting(work, now);
        return work;
    }

    #recordFirstToken(runner: Runner, milliseconds: number, modelledMilliseconds: number): void {
        const { clock, options, eject } = this.#options;
        const now = clock.monotonic();
        const ratio = runner.addFirstToken(milliseconds, modelledMilliseconds, now);
        const isSlow = ratio > options.outlierFactor * Math.max(1, runner.poolStatistics.getSlowdown());
        if (runner.health.recordLatency(isSlow) >= options.outlierAnswers) {
            eject(runner.vm.id, "slow");
        }
    }

    #recordResult(runner: Runner, result: WorkResult): void {
        const { clock, options, eject } = this.#options;
        if (result.loadHeader !== undefined) {
            this.#applyLoadHeader(runner, result.loadHeader);
        }
        if (result.outcome === "ok") {
            runner.health.addSuccess(clock.monotonic());
            runner.poolStatistics.addServiceTime(result.milliseconds);
        }
        else if (result.outcome === "failed" && runner.health.addFailure() >= options.ejectAfterFailures) {
            eject(runner.vm.id, "failures");
        }
    }

    #applyLoadHeader(runner: Runner, header: string): void {
        const load = parseLoadHeader(header);
        if (load !== undefined) {
            runner.load.addAnswerLoad(load.requests, load.capacity, this.#options.clock.monotonic());
        }
    }
}
