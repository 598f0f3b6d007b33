/** Silences of the runners of a soak test, each shortly after a change of the configuration. */
import type { RandomSource } from "../../../src/common/index.js";
import type { RunnerSet } from "./runnerSet.js";
import { configurationChanges, type SoakConfiguration } from "./soakConfiguration.js";
import { draw, type SoakRecord, wait } from "./soakRecord.js";

/** Time from a change of the configuration to the silence. */
const silenceDelayMilliseconds = 600;
const minSilenceMilliseconds = 1_000;
const maxSilenceMilliseconds = 1_700;
/** Maximum time from the start of a silence to the next change. It is short so that some silences overlap. */
const maxGapMilliseconds = 2_500;
/** Share of the runners that are silent in one of two silences; in the other one, all are. */
const silentShare = 0.6;

/** Options of the silences of a soak test. */
export interface SoakSilencesOptions {
    readonly random: RandomSource;
    readonly configuration: SoakConfiguration;
    readonly runners: RunnerSet;
    readonly record: SoakRecord;
}

/** Changes the configuration and lets runners fall silent, again and again. */
export class SoakSilences {
    readonly #options: SoakSilencesOptions;

    constructor(options: SoakSilencesOptions) {
        this.#options = options;
    }

    /**
     * Runs silences one after the other.
     * @param isOver - Returns whether no further silence begins.
     */
    async run(isOver: () => boolean): Promise<void> {
        const { random, configuration } = this.#options;
        while (!isOver()) {
            configuration.change(draw(random, configurationChanges));
            await wait(silenceDelayMilliseconds);
            this.#silence();
            await wait(random.nextInteger(maxGapMilliseconds));
        }
    }

    #silence(): void {
        const { random, runners, record } = this.#options;
        const milliseconds = minSilenceMilliseconds
            + random.nextInteger(maxSilenceMilliseconds - minSilenceMilliseconds);
        const all = runners.silentIds;
        const silent = random.nextInteger(2) === 0 ? all : this.#drawSome(all);
        for (const id of silent) {
            runners.silence(id, milliseconds);
        }
        record.addFault(`${silent.length} of ${all.length} runners are silent for ${milliseconds} ms`);
    }

    #drawSome(ids: readonly string[]): readonly string[] {
        const left = [...ids];
        const count = Math.round(silentShare * ids.length);
        return Array.from({ length: count }, () => left.splice(this.#options.random.nextInteger(left.length), 1)[0]);
    }
}
