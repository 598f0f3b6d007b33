/**
 * A pool's upstreams by version.
 */
import type { RegisteredUpstream } from "../fleet/index.js";

/** What upstreams are divided by. */
export interface DivisionKey {
    /** Versions that serve nothing any more; a set that changes is another set. */
    readonly reverted: ReadonlySet<string> | undefined;
    /** The version that a roll-out moves to, if there is one. */
    readonly candidate: string | undefined;
}

/** Upstreams by version. */
export interface VersionDivision {
    /** All but those of reverted versions. */
    readonly sound: readonly RegisteredUpstream[];
    /** Those of the version that a roll-out moves to. */
    readonly candidates: readonly RegisteredUpstream[];
    /** The other sound ones. */
    readonly currents: readonly RegisteredUpstream[];
}

interface KnownDivision {
    readonly key: DivisionKey;
    readonly division: VersionDivision;
}

/**
 * Divides each list of upstreams once. The same lists come back for every request until something changes, so that whatever the
 * choice of an upstream works out for a list of hundreds can be kept too.
 */
export class VersionDivisions {
    readonly #known = new WeakMap<readonly RegisteredUpstream[], KnownDivision>();

    /**
     * Returns the upstreams by version.
     * @param upstreams - A list; one that changes is another list.
     * @param key - What it is divided by.
     */
    get(upstreams: readonly RegisteredUpstream[], key: DivisionKey): VersionDivision {
        const known = this.#known.get(upstreams);
        if (known !== undefined && known.key.reverted === key.reverted && known.key.candidate === key.candidate) {
            return known.division;
        }
        const division = divide(upstreams, key);
        this.#known.set(upstreams, { key, division });
        return division;
    }
}

function divide(upstreams: readonly RegisteredUpstream[], { reverted, candidate }: DivisionKey): VersionDivision {
    const sound = reverted === undefined || reverted.size === 0
        ? upstreams
        : upstreams.filter(({ version }) => !reverted.has(version));
    return {
        sound,
        candidates: sound.filter(({ version }) => version === candidate),
        currents: sound.filter(({ version }) => version !== candidate),
    };
}
