/**
 * Which of a pool's runners a node chooses among, and which of them take long prompts.
 */
import type { RegisteredUpstream } from "../../fleet/index.js";
import { getRank } from "../placement/rendezvous.js";

/**
 * Part of a pool's runners that take long prompts. A runner reads prompts one after another, so a short prompt behind a long
 * one waits for all of it; keeping the two apart spares most callers that wait (size-interval task assignment).
 */
const longShare = 0.5;
/**
 * A node chooses among so many runners of its own, besides those that are likely to hold the prompt's parts. Of hundreds of
 * runners it would hear of each one only now and then, and choose blindly; those few it knows well.
 */
const ownRunners = 12;

/** Divides the runners of a pool by ranks that do not change, so that nodes agree without asking each other. */
export class RunnerGroups {
    readonly #self: string;
    readonly #failureDomain: string;
    readonly #longRanks = new Map<string, number>();
    readonly #ownRanks = new Map<string, number>();

    /** @param options - The node that chooses. */
    constructor(options: { readonly self: string; readonly failureDomain: string; }) {
        this.#self = options.self;
        this.#failureDomain = options.failureDomain;
    }

    /**
     * Forgets a runner.
     * @param id - Its identifier.
     */
    forget(id: string): void {
        this.#longRanks.delete(id);
        this.#ownRanks.delete(id);
    }

    /**
     * Returns the runners that take long prompts: the same on every node that knows the same runners, and some in each failure
     * domain, since long prompts are the dearest to send to another one.
     */
    findForLong(group: readonly RegisteredUpstream[]): ReadonlySet<string> {
        const domains = new Map<string, { readonly id: string; readonly rank: number; }[]>();
        for (const { id, failureDomain } of group) {
            const members = domains.get(failureDomain) ?? [];
            members.push({ id, rank: this.#getLongRank(id) });
            domains.set(failureDomain, members);
        }
        const chosen = new Set<string>();
        for (const members of domains.values()) {
            members.sort((first, second) => second.rank - first.rank);
            for (const { id } of members.slice(0, Math.floor(members.length * longShare))) {
                chosen.add(id);
            }
        }
        return chosen;
    }

    /** Returns the runners to choose among: the nearest ones by this node's own rank, and those that may hold the prompt. */
    selectOwn(group: readonly RegisteredUpstream[], holders: readonly string[]): readonly RegisteredUpstream[] {
        if (group.length <= ownRunners) {
            return group;
        }
        const ranked = group.map(upstream => ({
            upstream,
            isNear: upstream.failureDomain === this.#failureDomain,
            rank: this.#getOwnRank(upstream.id),
        }));
        ranked.sort((first, second) => Number(second.isNear) - Number(first.isNear) || second.rank - first.rank);
        const own: RegisteredUpstream[] = [];
        for (const [index, { upstream }] of ranked.entries()) {
            if (index < ownRunners || holders.includes(upstream.id)) {
                own.push(upstream);
            }
        }
        return own;
    }

    #getOwnRank(id: string): number {
        let rank = this.#ownRanks.get(id);
        if (rank === undefined) {
            rank = getRank(this.#self, id);
            this.#ownRanks.set(id, rank);
        }
        return rank;
    }

    #getLongRank(id: string): number {
        let rank = this.#longRanks.get(id);
        if (rank === undefined) {
            rank = getRank("long prompts", id);
            this.#longRanks.set(id, rank);
        }
        return rank;
    }
}
