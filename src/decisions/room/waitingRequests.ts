/**
 * Order of the requests that wait for room at one pool: by priority, within a priority fair between workspaces, within a workspace by
 * the time left for the objective. A priority or a workspace that is served far less often than the others goes first.
 */
import { FairQueue } from "../limits/fairQueue.js";
import { getFairLevel } from "./fairLevel.js";
import { ServiceRate } from "./serviceRate.js";

/**
 * Order of the requests of one priority: those that can meet their objective, those of workspaces that had more than their share, and
 * those that will miss their objective.
 */
export type Turn = "timely" | "above-share" | "late";

const turns = ["timely", "above-share", "late"] as const satisfies readonly Turn[];

/** A request that competes for room. */
export interface RoomItem {
    readonly workspace: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Weight of the workspace relative to others; greater than 0. */
    readonly share: number;
    /** Expected work, in any unit that is the same for all requests of the pool. */
    readonly tokens: number;
    /** Size of the request in bytes. */
    readonly bytes: number;
    /** Monotonic time at which the request was queued. */
    readonly since: number;
    /** Monotonic time by which the requests of a workspace are ordered. */
    readonly dueAt: number;
    readonly turn: Turn;
    /** Monotonic time until which an answer is of any use. */
    readonly deadlineAt: number;
}

/** Bounds of the requests that wait at one node for one pool. */
export interface WaitingBounds {
    readonly requests: number;
    readonly bytes: number;
}

/** A priority or workspace that is served less often than this share of the mean goes first. */
const minServiceShare = 1 / 3;
/** Interval in which the fair division is computed, in milliseconds. */
const fairLevelMilliseconds = 100;
/** Number of workspaces of a priority whose rate of service is known. */
const maxWorkspaces = 1_024;

/** Requests of one priority. */
interface Rank<T extends RoomItem> {
    readonly priority: number;
    /** In the order of their turns. */
    readonly queues: Readonly<Record<Turn, FairQueue<T>>>;
    readonly service: ServiceRate;
    readonly workspaces: Map<string, ServiceRate>;
    /** Recent services up to which a workspace has no more than its share, and when that was computed. */
    fairLevel: number;
    fairLevelAt: number;
}

/** The next request, and whether it goes first because others like it are hardly served. */
export interface NextRequest<T extends RoomItem> {
    readonly item: T;
    readonly isStarved: boolean;
}

/** The waiting requests of one workspace that have one priority. */
export interface WorkspaceQueue<T> {
    readonly priority: number;
    readonly turn: Turn;
    /** Number of waiting requests that are more urgent. */
    readonly ahead: number;
    /** Number of workspaces that take turns. */
    readonly workspaces: number;
    readonly items: readonly T[];
}

/** The requests that wait for room at one pool. */
export class WaitingRequests<T extends RoomItem> {
    readonly #bounds: WaitingBounds;
    /** By priority, the most urgent first. */
    readonly #ranks: Rank<T>[] = [];
    readonly #service = new ServiceRate();
    #size = 0;
    #bytes = 0;

    /** @param bounds - Bounds of the waiting requests. */
    constructor(bounds: WaitingBounds) {
        this.#bounds = bounds;
    }

    /** Returns the number of waiting requests. */
    getSize(): number {
        return this.#size;
    }

    /** Returns the size of the waiting requests in bytes. */
    getBytes(): number {
        return this.#bytes;
    }

    /** Returns the waiting requests by workspace, the most urgent priority first, within it those that can meet their objective. */
    *getQueues(): Iterable<WorkspaceQueue<T>> {
        let ahead = 0;
        for (const { priority, queues } of this.#ranks) {
            for (const turn of turns) {
                const queue = queues[turn];
                for (const [, items] of queue.getQueues()) {
                    yield { priority, turn, ahead, workspaces: queue.countWorkspaces(), items };
                }
                ahead += queue.getSize();
            }
        }
    }

    /** Records that a request was turned away. */
    addRefusal({ priority, workspace }: T, now: number): void {
        this.#count(priority, workspace, { isServed: false, now });
    }

    /** Records that a request was begun without a wait. */
    addPassage({ priority, workspace, share, tokens, turn }: T, now: number): void {
        this.#getRank(priority).queues[turn].start(workspace, share, tokens);
        this.#count(priority, workspace, { isServed: true, now });
    }

    /**
     * Adds a request.
     * @returns Less urgent requests that have to leave because the bounds are exceeded, or the request itself.
     */
    add(item: T): readonly T[] {
        this.#getQueue(item).add(item);
        this.#size += 1;
        this.#bytes += item.bytes;
        const removed: T[] = [];
        while (this.#size > this.#bounds.requests || this.#bytes > this.#bounds.bytes) {
            const last = this.#findLast();
            if (last === undefined || !this.remove(last)) {
                break;
            }
            removed.push(last);
        }
        return removed;
    }

    /** Removes a request. Returns whether it was waiting. */
    remove(item: T): boolean {
        const isRemoved = this.#getQueue(item).remove(item);
        if (isRemoved) {
            this.#size -= 1;
            this.#bytes -= item.bytes;
        }
        return isRemoved;
    }

    /** Returns which request is next. */
    findNext(): NextRequest<T> | undefined {
        const minRate = minServiceShare * this.#service.get();
        let first: T | undefined;
        for (const rank of this.#ranks) {
            for (const turn of turns) {
                const queue = rank.queues[turn];
                const next = queue.findNext();
                first ??= next;
                if (next !== undefined && rank.service.get() < minRate) {
                    return { item: next, isStarved: true };
                }
                for (const [workspace, items] of queue.getQueues()) {
                    if (getWorkspaceRate(rank, workspace).get() < minRate) {
                        return { item: items[0], isStarved: true };
                    }
                }
            }
        }
        return first && { item: first, isStarved: false };
    }

    /** Removes a request that begins, and charges its workspace for it. */
    begin(item: T, now: number): void {
        if (this.remove(item)) {
            this.addPassage(item, now);
        }
    }

    /** Returns whether a priority, or a workspace of it, is hardly served. */
    isStarved(priority: number, workspace: string): boolean {
        const rank = this.#getRank(priority);
        const minRate = minServiceShare * this.#service.get();
        return rank.service.get() < minRate || getWorkspaceRate(rank, workspace).get() < minRate;
    }

    /** Returns whether a workspace was recently served more than its fair share of a priority, beyond random variation. */
    isAboveShare(priority: number, workspace: string, now: number): boolean {
        const rank = this.#getRank(priority);
        if (now - rank.fairLevelAt >= fairLevelMilliseconds) {
            rank.fairLevelAt = now;
            const demands = [...rank.workspaces.values()].map(rate => rate.getRequests(now));
            rank.fairLevel = getFairLevel(demands, rank.service.getServices(now));
        }
        const tolerance = Math.sqrt(rank.fairLevel);
        return getWorkspaceRate(rank, workspace).getServices(now) > rank.fairLevel + tolerance;
    }

    /** Returns the number of waiting requests of a workspace that have a priority. */
    countWaiting(priority: number, workspace: string): number {
        let count = 0;
        const { queues } = this.#getRank(priority);
        for (const turn of turns) {
            count += queues[turn].countWaiting(workspace);
        }
        return count;
    }

    /**
     * Returns the number of waiting requests that would be served before a new one.
     * @param priority - Priority of the new request.
     * @param item - The new request. Without one, all of its priority are ahead.
     */
    countAhead(priority: number, item?: T): number {
        let count = 0;
        for (const rank of this.#ranks) {
            if (rank.priority < priority || rank.priority === priority && item === undefined) {
                count += getSize(rank);
            }
            else if (rank.priority === priority && item !== undefined) {
                count += countBefore(rank, item);
            }
        }
        return count;
    }

    /** Returns the recent requests a millisecond whose priority is more urgent. */
    getMoreUrgentRate(priority: number, now: number): number {
        let rate = 0;
        for (const rank of this.#ranks) {
            rate += rank.priority < priority ? rank.service.getRequestsPerMillisecond(now) : 0;
        }
        return rate;
    }

    #findLast(): T | undefined {
        for (const { queues } of this.#ranks.toReversed()) {
            for (const turn of turns.toReversed()) {
                const last = queues[turn].findLast();
                if (last !== undefined) {
                    return last;
                }
            }
        }
        return undefined;
    }

    #count(
        priority: number,
        workspace: string,
        { isServed, now }: { readonly isServed: boolean; readonly now: number; },
    ): void {
        const rank = this.#getRank(priority);
        this.#service.add(isServed, now);
        rank.service.add(isServed, now);
        getWorkspaceRate(rank, workspace).add(isServed, now);
    }

    #getQueue({ priority, turn }: T): FairQueue<T> {
        return this.#getRank(priority).queues[turn];
    }

    #getRank(priority: number): Rank<T> {
        const known = this.#ranks.find(rank => rank.priority === priority);
        if (known !== undefined) {
            return known;
        }
        const rank: Rank<T> = {
            priority,
            queues: {
                timely: new FairQueue<T>(item => item.dueAt),
                "above-share": new FairQueue<T>(item => item.dueAt),
                late: new FairQueue<T>(item => item.deadlineAt),
            },
            service: new ServiceRate(),
            workspaces: new Map(),
            fairLevel: Number.POSITIVE_INFINITY,
            fairLevelAt: Number.NEGATIVE_INFINITY,
        };
        this.#ranks.push(rank);
        this.#ranks.sort((left, right) => left.priority - right.priority);
        return rank;
    }
}

function getSize<T extends RoomItem>({ queues }: Rank<T>): number {
    let size = 0;
    for (const turn of turns) {
        size += queues[turn].getSize();
    }
    return size;
}

/** Counts the requests of a priority that would be served before a new one. */
function countBefore<T extends RoomItem>({ queues }: Rank<T>, { turn, workspace }: T): number {
    let count = 0;
    for (const name of turns) {
        if (name === turn) {
            return count + countInTurns(queues[name], workspace);
        }
        count += queues[name].getSize();
    }
    return count;
}

/** Counts the requests ahead of a new one of a workspace when the workspaces take turns. */
function countInTurns<T extends RoomItem>(queue: FairQueue<T>, workspace: string): number {
    const own = queue.countWaiting(workspace);
    let count = own;
    for (const [other, items] of queue.getQueues()) {
        count += other === workspace ? 0 : Math.min(items.length, own + 1);
    }
    return count;
}

function getWorkspaceRate<T extends RoomItem>({ workspaces }: Rank<T>, workspace: string): ServiceRate {
    let rate = workspaces.get(workspace);
    if (rate === undefined) {
        rate = new ServiceRate();
        workspaces.set(workspace, rate);
        if (workspaces.size > maxWorkspaces) {
            for (const oldest of workspaces.keys()) {
                workspaces.delete(oldest);
                break;
            }
        }
    }
    return rate;
}
