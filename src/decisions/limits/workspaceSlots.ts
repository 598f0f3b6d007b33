/**
 * How many places each workspace holds, and how many are its fair part.
 */

interface WorkspaceUsage {
    slots: number;
    share: number;
}

/** Places at work by workspace. */
export class WorkspaceSlots {
    readonly #usages = new Map<string, WorkspaceUsage>();
    #activeShares = 0;

    /**
     * Tells whether a workspace holds less than its part of the limit, by its share among those at work. The part is
     * rounded to whole places; each workspace has one at least.
     * @param workspace - The workspace.
     * @param share - Its share.
     * @param limit - Places in all.
     */
    isBelowShare(workspace: string, share: number, limit: number): boolean {
        const usage = this.#usages.get(workspace);
        if (usage === undefined) {
            return true;
        }
        const fairSlots = limit * share / (this.#activeShares - usage.share + share);
        return usage.slots < Math.round(fairSlots);
    }

    /** Tells whether a workspace holds a place. */
    isActive(workspace: string): boolean {
        return this.#usages.has(workspace);
    }

    /** Notes a place taken. */
    add(workspace: string, share: number): void {
        const usage = this.#usages.get(workspace) ?? { slots: 0, share: 0 };
        this.#activeShares += share - usage.share;
        usage.share = share;
        usage.slots += 1;
        this.#usages.set(workspace, usage);
    }

    /** Notes a place given back. */
    remove(workspace: string): void {
        const usage = this.#usages.get(workspace);
        if (usage === undefined) {
            return;
        }
        usage.slots -= 1;
        if (usage.slots === 0) {
            this.#activeShares -= usage.share;
            this.#usages.delete(workspace);
        }
    }
}
