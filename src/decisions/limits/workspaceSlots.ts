/**
 * Slots that each workspace holds, and its fair share of them.
 */

interface WorkspaceUsage {
    slots: number;
    share: number;
}

/** Counts the slots in use by workspace. */
export class WorkspaceSlots {
    readonly #usages = new Map<string, WorkspaceUsage>();
    #activeShares = 0;

    /**
     * Returns whether a workspace holds fewer slots than its part of the limit, which follows from its share among the active
     * workspaces. The part is rounded to whole slots. A workspace without a slot is always below its share.
     * @param workspace - The workspace.
     * @param share - Share of the workspace.
     * @param limit - Total number of slots.
     */
    isBelowShare(workspace: string, share: number, limit: number): boolean {
        const usage = this.#usages.get(workspace);
        if (usage === undefined) {
            return true;
        }
        const fairSlots = limit * share / (this.#activeShares - usage.share + share);
        return usage.slots < Math.round(fairSlots);
    }

    /** Returns whether a workspace holds a slot. */
    isActive(workspace: string): boolean {
        return this.#usages.has(workspace);
    }

    /** Adds a slot that a workspace has taken. */
    add(workspace: string, share: number): void {
        const usage = this.#usages.get(workspace) ?? { slots: 0, share: 0 };
        this.#activeShares += share - usage.share;
        usage.share = share;
        usage.slots += 1;
        this.#usages.set(workspace, usage);
    }

    /** Removes a slot that a workspace has released. */
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
