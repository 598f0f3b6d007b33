/**
 * Start-time fair queueing between workspaces: each pays for its tokens in virtual time by its share, and whoever is
 * furthest behind goes next. Within a workspace the more urgent go first.
 */

/** A request that waits for a place. */
export interface FairQueueItem {
    readonly workspace: string;
    readonly share: number;
    readonly priority: number;
    readonly tokens: number;
    /** Monotonic milliseconds. */
    readonly since: number;
}

/**
 * What a workspace did not use is kept for it up to this many usual requests. Without any, one that asks at random
 * moments never gets its share; without a bound, one that comes back after an hour would take everything.
 */
const maxCreditRequests = 4;
const meanSmoothing = 0.01;
/** Virtual times are forgotten when this many workspaces are known and none of them is ahead. */
const maxTrackedWorkspaces = 1_024;

/** A queue that is fair between workspaces by tokens. */
export class FairQueue<T extends FairQueueItem> {
    readonly #queues = new Map<string, T[]>();
    /** Virtual time up to which a workspace has paid. */
    readonly #finishTimes = new Map<string, number>();
    #virtualTime = 0;
    #meanTokens = 0;
    #size = 0;

    /** Returns how many wait. */
    getSize(): number {
        return this.#size;
    }

    /** Returns how far a workspace is ahead of the others, in tokens of a share of 1. */
    getLead(workspace: string): number {
        return Math.max(0, (this.#finishTimes.get(workspace) ?? 0) - this.#virtualTime);
    }

    /**
     * Starts work of a workspace: virtual time moves on to where the workspace is, and the workspace pays. Without
     * moving on, work done while nobody waited would be held against a workspace for good.
     */
    start(workspace: string, share: number, tokens: number): void {
        this.#virtualTime = Math.max(this.#virtualTime, this.#finishTimes.get(workspace) ?? 0);
        this.charge(workspace, share, tokens);
    }

    /** Tells whether a workspace had less than its share of late. */
    isBehind(workspace: string): boolean {
        return (this.#finishTimes.get(workspace) ?? 0) < this.#virtualTime;
    }

    /**
     * Charges a workspace for more than it was started with.
     * @param workspace - The workspace that pays.
     * @param share - Its share.
     * @param tokens - What it pays for.
     */
    charge(workspace: string, share: number, tokens: number): void {
        this.#meanTokens += meanSmoothing * (tokens - this.#meanTokens);
        const credit = maxCreditRequests * this.#meanTokens / share;
        const start = Math.max(this.#virtualTime - credit, this.#finishTimes.get(workspace) ?? 0);
        this.#finishTimes.set(workspace, start + tokens / share);
        this.#pruneFinishTimes();
    }

    /** Adds a request behind those of its workspace that are as urgent. */
    add(item: T): void {
        const queue = this.#queues.get(item.workspace) ?? [];
        let index = queue.length;
        while (index > 0 && queue[index - 1].priority > item.priority) {
            index -= 1;
        }
        queue.splice(index, 0, item);
        this.#queues.set(item.workspace, queue);
        this.#size += 1;
    }

    /** Takes a request out, for instance when its caller left. */
    remove(item: T): boolean {
        const queue = this.#queues.get(item.workspace);
        const index = queue?.indexOf(item) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        queue.splice(index, 1);
        if (queue.length === 0) {
            this.#queues.delete(item.workspace);
        }
        this.#size -= 1;
        return true;
    }

    /** Takes out the request that goes next. Its workspace is charged for it. */
    shift(): T | undefined {
        const next = this.#findNext();
        if (next === undefined) {
            return undefined;
        }
        this.remove(next);
        this.start(next.workspace, next.share, next.tokens);
        return next;
    }

    /** Finds the request to give up first: the least urgent and newest one of the workspace that is furthest ahead. */
    findLast(): T | undefined {
        let last: T | undefined;
        let max = Number.NEGATIVE_INFINITY;
        for (const [workspace, queue] of this.#queues) {
            const end = this.getLead(workspace) + getCost(queue);
            if (end > max) {
                max = end;
                last = queue[queue.length - 1];
            }
        }
        return last;
    }

    /** Counts the waiting requests that would go before one more request of a workspace. */
    countAhead(workspace: string, share: number, priority: number): number {
        const own = this.#queues.get(workspace) ?? [];
        const ownAhead = own.filter(item => item.priority <= priority);
        const start = this.getLead(workspace) + ownAhead.reduce((sum, item) => sum + item.tokens, 0) / share;
        let count = ownAhead.length;
        for (const [other, queue] of this.#queues) {
            let otherStart = this.getLead(other);
            for (const item of other === workspace ? [] : queue) {
                if (otherStart > start) {
                    break;
                }
                count += 1;
                otherStart += item.tokens / item.share;
            }
        }
        return count;
    }

    #findNext(): T | undefined {
        let next: T | undefined;
        let minLead = Number.POSITIVE_INFINITY;
        for (const [workspace, queue] of this.#queues) {
            const lead = this.getLead(workspace);
            if (lead < minLead || lead === minLead && next !== undefined && queue[0].since < next.since) {
                minLead = lead;
                next = queue[0];
            }
        }
        return next;
    }

    /** Without this, each workspace that ever asked would stay in memory. */
    #pruneFinishTimes(): void {
        if (this.#finishTimes.size <= maxTrackedWorkspaces) {
            return;
        }
        for (const [workspace, finishTime] of this.#finishTimes) {
            if (finishTime <= this.#virtualTime) {
                this.#finishTimes.delete(workspace);
            }
        }
    }
}

function getCost(queue: readonly FairQueueItem[]): number {
    let cost = 0;
    for (const item of queue) {
        cost += item.tokens / item.share;
    }
    return cost;
}
