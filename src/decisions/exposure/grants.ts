/**
 * Distributes a roll-out's exposure budget over the entries in several steps.
 *
 * Ratings arrive late: a stage that exposed its whole share of callers at once would expose hundreds of them before the
 * first rating. So callers are released as earlier ones have been evaluated, a handful at first and then in growing
 * numbers.
 */

/** Input of the distribution of grants. */
export interface GrantInput {
    /** Grants so far, as a total for each entry. */
    readonly grants: Readonly<Record<string, number>>;
    /** Entries that accept callers now. */
    readonly entries: readonly string[];
    /** Maximum number of exposed callers in the whole system. */
    readonly budget: number;
    /** Exposed callers whose answers are old enough for their ratings to have arrived. */
    readonly evaluatedCallers: number;
    /** Number of callers that may be exposed before the first one is evaluated. */
    readonly firstCallers: number;
    /** For each evaluated caller, this number of further callers may be exposed without being evaluated yet. */
    readonly pendingPerEvaluated: number;
    /** Returns how many callers an entry has exposed. */
    readonly getExposedCallers: (entry: string) => number;
}

/** New grants are recorded only if they add at least this part of the callers that may be pending. */
const minGrantShare = 0.25;

/**
 * Plans the next grants.
 * @returns The total grants of all entries, or `undefined` if nothing should be added yet.
 */
export function planGrants(input: GrantInput): Readonly<Record<string, number>> | undefined {
    const granted = sumValues(input.grants);
    const maxPending = Math.max(input.firstCallers, input.pendingPerEvaluated * input.evaluatedCallers);
    const target = Math.floor(input.evaluatedCallers + maxPending + countUnusedOfDeparted(input));
    const added = Math.min(input.budget, target) - granted;
    if (
        input.entries.length === 0 || added < Math.max(1, Math.min(input.budget - granted, minGrantShare * maxPending))
    ) {
        return undefined;
    }
    const grants = { ...input.grants };
    for (let count = 0; count < added; count += 1) {
        const entry = getEntryWithFewestUnusedGrants(input, grants);
        grants[entry] = (grants[entry] ?? 0) + 1;
    }
    return grants;
}

/** Counts unused grants of departed entries. They stay within the budget, but no exposure is expected from them. */
function countUnusedOfDeparted(input: GrantInput): number {
    let unused = 0;
    for (const [entry, granted] of Object.entries(input.grants)) {
        if (!input.entries.includes(entry)) {
            unused += Math.max(0, granted - input.getExposedCallers(entry));
        }
    }
    return unused;
}

/** Returns the entry with the fewest unused grants. */
function getEntryWithFewestUnusedGrants(input: GrantInput, grants: Readonly<Record<string, number>>): string {
    let selected = input.entries[0];
    let minUnused = Infinity;
    for (const entry of input.entries) {
        const unused = (grants[entry] ?? 0) - input.getExposedCallers(entry);
        if (unused < minUnused) {
            minUnused = unused;
            selected = entry;
        }
    }
    return selected;
}

function sumValues(values: Readonly<Record<string, number>>): number {
    let sum = 0;
    for (const value of Object.values(values)) {
        sum += value;
    }
    return sum;
}
