/**
 * Releases that claimants have sent to a collector and that the log may not hold yet.
 *
 * A claimant that has sent a release never dispatches. Until the log holds the release, its readers see the key as held,
 * and callers would receive "unknown" for a call that certainly did not run.
 */
import type { ClaimOperation } from "./claimOperation.js";

/** Retains releases until the log confirms them. */
export class UnconfirmedReleases {
    readonly #releases = new Map<string, ClaimOperation>();
    readonly #claimIdsByKey = new Map<string, ReadonlySet<string>>();

    /**
     * Adds a release.
     * @param release - The release.
     */
    add(release: ClaimOperation): void {
        this.#releases.set(release.id, release);
        this.#claimIdsByKey.set(release.key, new Set([...this.#claimIdsByKey.get(release.key) ?? [], release.id]));
    }

    /**
     * Removes the release of a claim, if there is one.
     * @param claimId - The identifier of the claim.
     */
    remove(claimId: string): void {
        const release = this.#releases.get(claimId);
        if (release === undefined) {
            return;
        }
        this.#releases.delete(claimId);
        const otherIds = [...this.#claimIdsByKey.get(release.key) ?? []].filter(id => id !== claimId);
        if (otherIds.length === 0) {
            this.#claimIdsByKey.delete(release.key);
            return;
        }
        this.#claimIdsByKey.set(release.key, new Set(otherIds));
    }

    /**
     * Returns the releases of a key.
     * @param key - The key.
     */
    get(key: string): readonly ClaimOperation[] {
        const claimIds = [...this.#claimIdsByKey.get(key) ?? []];
        return claimIds.flatMap(claimId => this.#releases.get(claimId) ?? []);
    }
}
