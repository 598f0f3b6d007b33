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

interface Division {
    /** The nearest runners by this node's own rank. */
    readonly own: readonly RegisteredUpstream[];
    readonly forLong: ReadonlySet<string>;
    readonly byId: ReadonlyMap<string, RegisteredUpstream>;
}

/**
 * Divides the runners of a pool by ranks that do not change, so that nodes agree without asking each other. A list of runners is
 * divided once: ranking a hundred runners for each request takes longer than the rest of the choice.
 */
export class RunnerGroups {
    readonly #self: string;
    readonly #failureDomain: string;
    readonly #longRanks = new Map<string, number>();
    readonly #ownRanks = new Map<string, number>();
    readonly #divisions = new WeakMap<readonly RegisteredUpstream[], Division>();

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
     * @param group - The runners; a list that changes is another list.
     */
    findForLong(group: readonly RegisteredUpstream[]): ReadonlySet<string> {
        return this.#divide(group).forLong;
    }

    /**
     * Returns the runners to choose among: the nearest ones by this node's own rank, and those that may hold the prompt.
     * @param group - The runners; a list that changes is another list.
     * @param holders - Identifiers of those that may hold the prompt.
     */
    selectOwn(group: readonly RegisteredUpstream[], holders: readonly string[]): readonly RegisteredUpstream[] {
        if (group.length <= ownRunners) {
            return group;
        }
        const { own, byId } = this.#divide(group);
        const selected = [...own];
        for (const holder of holders) {
            const upstream = byId.get(holder);
            if (upstream !== undefined && !own.includes(upstream)) {
                selected.push(upstream);
            }
        }
        return selected;
    }

    #divide(group: readonly RegisteredUpstream[]): Division {
        let division = this.#divisions.get(group);
        if (division === undefined) {
            division = {
                own: this.#rankOwn(group),
                forLong: this.#chooseForLong(group),
                byId: new Map(group.map(upstream => [upstream.id, upstream])),
            };
            this.#divisions.set(group, division);
        }
        return division;
    }

    #rankOwn(group: readonly RegisteredUpstream[]): readonly RegisteredUpstream[] {
        const ranked = group.map(upstream => ({
            upstream,
            isNear: upstream.failureDomain === this.#failureDomain,
            rank: this.#getOwnRank(upstream.id),
        }));
        ranked.sort((first, second) => Number(second.isNear) - Number(first.isNear) || second.rank - first.rank);
        return ranked.slice(0, ownRunners).map(({ upstream }) => upstream);
    }

    #chooseForLong(group: readonly RegisteredUpstream[]): ReadonlySet<string> {
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
