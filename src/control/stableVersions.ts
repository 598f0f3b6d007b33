/**
 * The versions of each model that were fully rolled out: what traffic falls back to when a newer one is halted.
 */

/** Settled versions of a model that are remembered. */
const maxRetainedVersions = 16;

/** Holds the settled versions of all models. */
export class StableVersions {
    /** The newest last. */
    readonly #models = new Map<string, readonly string[]>();

    /** Adds a version as the newest of its model. */
    add(model: string, version: string): void {
        const others = this.get(model).filter(other => other !== version);
        this.#models.set(model, [...others, version].slice(-maxRetainedVersions));
    }

    /** Gets the versions of a model, the newest last. */
    get(model: string): readonly string[] {
        return this.#models.get(model) ?? [];
    }

    /** Gets the versions of the same model that were settled before a version, the newest last. */
    getBefore(version: string): readonly string[] {
        for (const versions of this.#models.values()) {
            const index = versions.lastIndexOf(version);
            if (index !== -1) {
                return versions.slice(0, index);
            }
        }
        return [];
    }

    /** Gets the versions of all models. */
    getAll(): Readonly<Record<string, readonly string[]>> {
        return Object.fromEntries(this.#models);
    }

    /** Takes over the versions of a snapshot. */
    replace(models: Readonly<Record<string, readonly string[]>>): void {
        this.#models.clear();
        for (const [model, versions] of Object.entries(models)) {
            this.#models.set(model, versions);
        }
    }
}
