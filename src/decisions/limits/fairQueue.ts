/**
 * Start-time fair queueing between workspaces. Each workspace is charged for its tokens in virtual time, in inverse proportion to its
 * share, and the workspace with the lowest virtual time is served next. Within a workspace, more urgent requests are served first.
 */

/** Represents a request that waits for a slot. */
export interface FairQueueItem {
    readonly workspace: string;
    readonly share: number;
    readonly priority: number;
    readonly tokens: number;
    /** Time at which the request was queued, in monotonic milliseconds. */
    readonly since: number;
}

/**
 * Maximum credit for the unused share of a workspace, in average requests. Without any credit, a workspace with irregular requests never
 * gets its share. Without an upper bound, a workspace that returns after an hour would take all slots.
 */
const maxCreditRequests = 4;
const meanSmoothing = 0.01;
/** Above this number of workspaces, the finish times of those that are not ahead of the virtual time are removed. */
const maxTrackedWorkspaces = 1_024;

/** Queue that is fair between workspaces by their tokens. */
export class FairQueue<T extends FairQueueItem> {
    readonly #queues = new Map<string, T[]>();
    /** Virtual time up to which each workspace has been charged. */
    readonly #finishTimes = new Map<string, number>();
    #virtualTime = 0;
    readonly #getUrgency: (item: T) => number;
    #meanTokens = 0;
    #size = 0;

    /**
     * @param getUrgency - Returns the order of a request within its workspace; lower values are served first. Without it, the order
     * is that of the priorities.
     */
    constructor(getUrgency: (item: T) => number = item => item.priority) {
        this.#getUrgency = getUrgency;
    }

    /** Returns the number of waiting requests. */
    getSize(): number {
        return this.#size;
    }

    /** Returns how far a workspace is ahead of the virtual time, in tokens at a share of 1. */
    getLead(workspace: string): number {
        return Math.max(0, (this.#finishTimes.get(workspace) ?? 0) - this.#virtualTime);
    }

    /**
     * Starts a request of a workspace: advances the virtual time to that of the workspace and charges the workspace. If the virtual
     * time did not advance, requests served while the queue was empty would count against the workspace forever.
     */
    start(workspace: string, share: number, tokens: number): void {
        this.#virtualTime = Math.max(this.#virtualTime, this.#finishTimes.get(workspace) ?? 0);
        this.charge(workspace, share, tokens);
    }

    /** Returns whether a workspace recently used less than its share. */
    isBehind(workspace: string): boolean {
        return (this.#finishTimes.get(workspace) ?? 0) < this.#virtualTime;
    }

    /**
     * Charges a workspace for tokens without advancing the virtual time.
     * @param workspace - The workspace.
     * @param share - Share of the workspace.
     * @param tokens - Number of tokens.
     */
    charge(workspace: string, share: number, tokens: number): void {
        this.#meanTokens += meanSmoothing * (tokens - this.#meanTokens);
        const credit = maxCreditRequests * this.#meanTokens / share;
        const start = Math.max(this.#virtualTime - credit, this.#finishTimes.get(workspace) ?? 0);
        this.#finishTimes.set(workspace, start + tokens / share);
        this.#pruneFinishTimes();
    }

    /** Adds a request after those of its workspace with the same or a higher urgency. */
    add(item: T): void {
        const queue = this.#queues.get(item.workspace) ?? [];
        const urgency = this.#getUrgency(item);
        let index = queue.length;
        while (index > 0 && this.#getUrgency(queue[index - 1]) > urgency) {
            index -= 1;
        }
        queue.splice(index, 0, item);
        this.#queues.set(item.workspace, queue);
        this.#size += 1;
    }

    /** Removes a request, for instance when its caller has disconnected. */
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

    /** Removes and returns the next request, and charges its workspace for it. */
    shift(): T | undefined {
        const next = this.findNext();
        if (next === undefined) {
            return undefined;
        }
        this.remove(next);
        this.start(next.workspace, next.share, next.tokens);
        return next;
    }

    /** Returns the waiting requests of each workspace, in their order. */
    getQueues(): Iterable<readonly [workspace: string, items: readonly T[]]> {
        return this.#queues;
    }

    /** Returns the number of workspaces with waiting requests. */
    countWorkspaces(): number {
        return this.#queues.size;
    }

    /** Returns the number of waiting requests of a workspace. */
    countWaiting(workspace: string): number {
        return this.#queues.get(workspace)?.length ?? 0;
    }

    /** Returns the request to reject first: the least urgent and latest one of the workspace that is furthest ahead. */
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

    /** Returns the number of waiting requests that would be served before a new request of a workspace. */
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

    /** Returns the request that `shift` would remove. */
    findNext(): T | undefined {
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

    /** Removes finish times that are no longer needed; otherwise every workspace ever seen would stay in memory. */
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
