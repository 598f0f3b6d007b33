/**
 * How many places each workspace holds, and how many are its fair part.
 */

interface Holding {
    places: number;
    share: number;
}

/** Places at work by workspace. */
export class Workspaces {
    readonly #holdings = new Map<string, Holding>();
    #sharesAtWork = 0;

    /**
     * Tells whether a workspace holds less than its part of the limit, by its share among those at work. The part is
     * rounded to whole places; each workspace has one at least.
     * @param workspace - The workspace.
     * @param share - Its share.
     * @param limit - Places in all.
     */
    isBelowShare(workspace: string, share: number, limit: number): boolean {
        const holding = this.#holdings.get(workspace);
        if (holding === undefined) {
            return true;
        }
        const fair = limit * share / (this.#sharesAtWork - holding.share + share);
        return holding.places < Math.round(fair);
    }

    /** Tells whether a workspace holds a place. */
    isAtWork(workspace: string): boolean {
        return this.#holdings.has(workspace);
    }

    /** Notes a place taken. */
    add(workspace: string, share: number): void {
        const holding = this.#holdings.get(workspace) ?? { places: 0, share: 0 };
        this.#sharesAtWork += share - holding.share;
        holding.share = share;
        holding.places += 1;
        this.#holdings.set(workspace, holding);
    }

    /** Notes a place given back. */
    remove(workspace: string): void {
        const holding = this.#holdings.get(workspace);
        if (holding === undefined) {
            return;
        }
        holding.places -= 1;
        if (holding.places === 0) {
            this.#sharesAtWork -= holding.share;
            this.#holdings.delete(workspace);
        }
    }
}
