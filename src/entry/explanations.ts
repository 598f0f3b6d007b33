/**
 * Stores how the latest requests were routed and why, for `rattanlock explain`.
 */
import type { Placement, Plan } from "../decisions/index.js";

/** Maximum number of requests whose explanations are stored. */
const capacity = 2000;

/** Explains how one request was routed. */
export interface Explanation {
    readonly request: string;
    readonly lines: readonly string[];
}

/** Stores the explanations of the latest requests. */
export class Explanations {
    readonly #lines = new Map<string, string[]>();

    /**
     * Adds the plan of a request.
     * @param request - Identifies the request.
     * @param plan - The plan.
     */
    addPlan(request: string, plan: Plan): void {
        for (const step of plan.steps) {
            const threshold = step.acceptScore === undefined ? "final" : `final at a rating of ${step.acceptScore}`;
            this.#add(request, `plan: ${step.version.id} (${threshold}); ${plan.reason}`);
        }
    }

    /**
     * Adds the choice of a runner.
     * @param request - Identifies the request.
     * @param version - The version.
     * @param placement - The choice.
     */
    addPlacement(request: string, version: string, placement: Placement): void {
        this.#add(
            request,
            `runner: ${placement.upstream.id} in ${placement.upstream.failureDomain} for ${version}, expected wait `
                + `${Math.round(placement.expectedWaitMilliseconds)} ms, ${placement.cachedBlocks} cached blocks; `
                + placement.reason,
        );
    }

    /**
     * Adds the rating of a cascade's step.
     * @param request - Identifies the request.
     * @param version - The version that was rated.
     * @param score - The rating; `undefined` if none arrived in time.
     * @param isAccepted - Whether the answer was final.
     */
    addRating(request: string, version: string, score: number | undefined, isAccepted: boolean): void {
        this.#add(request, `rating: ${version} ${score ?? "unrated"}, ${isAccepted ? "accepted" : "escalated"}`);
    }

    /**
     * Returns the explanation of a request, or `undefined` if none is stored.
     * @param request - Identifies the request.
     */
    get(request: string): Explanation | undefined {
        const lines = this.#lines.get(request);
        return lines === undefined ? undefined : { request, lines };
    }

    #add(request: string, line: string): void {
        const lines = this.#lines.get(request);
        if (lines !== undefined) {
            lines.push(line);
            return;
        }
        this.#lines.set(request, [line]);
        if (this.#lines.size > capacity) {
            const oldest = this.#lines.keys().next();
            this.#lines.delete(oldest.value as string);
        }
    }
}
