/**
 * Splits a roll-out's exposure budget over the entries, a part at a time.
 *
 * Ratings come late: a stage that let its whole share of callers through at once would expose hundreds before the first
 * rating is in. So callers are released as earlier ones have been judged, at first a handful and then ever more.
 */

/** What the split depends on. */
export interface GrantInput {
    /** Granted so far, for each entry altogether. */
    readonly grants: Readonly<Record<string, number>>;
    /** Entries that take callers now. */
    readonly entries: readonly string[];
    /** Callers that may be exposed in the whole system. */
    readonly budget: number;
    /** Exposed callers about whom all is known that will be. */
    readonly evaluatedCallers: number;
    /** Callers that may be exposed before the first one is judged. */
    readonly firstCallers: number;
    /** For each judged caller, so many more may be exposed and not judged. */
    readonly pendingPerEvaluated: number;
    /** Gets how many callers an entry has exposed. */
    readonly getSpent: (entry: string) => number;
}

/** A new split is worth a record if it adds this part of what may be waiting. */
const minGrantShare = 0.25;

/**
 * Plans the next grants.
 * @returns The grants of all entries altogether; `undefined` if nothing should be added yet.
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
        const entry = getEntryWithFewestLeft(input, grants);
        grants[entry] = (grants[entry] ?? 0) + 1;
    }
    return grants;
}

/** Counts what was granted to entries that have gone; it stays within the budget, but nobody waits for it. */
function countUnusedOfDeparted(input: GrantInput): number {
    let unused = 0;
    for (const [entry, granted] of Object.entries(input.grants)) {
        if (!input.entries.includes(entry)) {
            unused += Math.max(0, granted - input.getSpent(entry));
        }
    }
    return unused;
}

/** Gets the entry with the least left to spend. */
function getEntryWithFewestLeft(input: GrantInput, grants: Readonly<Record<string, number>>): string {
    let selected = input.entries[0];
    let minLeft = Infinity;
    for (const entry of input.entries) {
        const left = (grants[entry] ?? 0) - input.getSpent(entry);
        if (left < minLeft) {
            minLeft = left;
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
