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

    /** Returns how many places a workspace holds. */
    getPlaces(workspace: string): number {
        return this.#holdings.get(workspace)?.places ?? 0;
    }

    /**
     * Returns the part of the limit that is a workspace's by its share among those at work.
     * @param workspace - The workspace.
     * @param share - Its share.
     * @param limit - Places in all.
     */
    getFairPlaces(workspace: string, share: number, limit: number): number {
        const own = this.#holdings.get(workspace)?.share ?? 0;
        return limit * share / (this.#sharesAtWork - own + share);
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
