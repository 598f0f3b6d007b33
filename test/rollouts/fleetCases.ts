/**
 * Roll-outs of fleets to replay: kinds of versions beside what happens to demand and nodes meanwhile.
 */
import type { BadVersion, FleetReplayOptions, FleetTrouble } from "./fleetReplayOptions.js";

/** A roll-out to replay. */
export interface FleetCase extends Omit<FleetReplayOptions, "seed" | "nodes" | "requestsPerSecond"> {
    readonly name: string;
    /** Whether the version is good and has to be completed in time. */
    readonly isGood: boolean;
}

const durationMilliseconds = 20_000;

const versions: Readonly<Record<string, BadVersion | undefined>> = {
    good: undefined,
    "failing in a third": { how: "errors", share: 0.32 },
    "slow in four of ten": { how: "slow", share: 0.4, headFactor: 1.5, pauseFactor: 6 },
    "slow at the head in half": { how: "slow", share: 0.5, headFactor: 8, pauseFactor: 1 },
    "failing for one kind": { how: "errors", share: 0.5, segment: "plan" },
    "slow for one kind": { how: "slow", share: 0.5, headFactor: 1.5, pauseFactor: 8, segment: "query" },
    "failing late": { how: "errors", share: 0.5, from: 12_000 },
    "failing under load": { how: "errors", share: 0.5, minLoad: 0.3 },
};

/** The demand of a burst in the first half of the roll-out. */
function getBurst(elapsed: number): number {
    return elapsed >= 4_000 && elapsed < 8_000 ? 1.7 : 1;
}

const troubles: Readonly<Record<string, { readonly getDemand?: typeof getBurst; readonly trouble?: FleetTrouble; }>> = {
    "in calm": {},
    "in a burst": { getDemand: getBurst },
    "nodes restarted in turn": { trouble: { restarts: { from: 0, until: 20_000, downMilliseconds: 1_500 } } },
    "nodes added": { trouble: { added: { at: 8_000, count: 10 } } },
    "nodes cut off from each other": { trouble: { cut: { from: 2_000, until: 14_000, share: 0.3 } } },
    "the store away for some": { trouble: { withoutStore: { from: 8_000, until: 16_000, share: 0.35 } } },
};

/** Creates all combinations. */
export function createFleetCases(): readonly FleetCase[] {
    return Object.entries(versions).flatMap(([version, bad]) =>
        Object.entries(troubles).map(([name, options]) => {
            return { name: `${version}, ${name}`, isGood: bad === undefined, durationMilliseconds, bad, ...options };
        })
    );
}
