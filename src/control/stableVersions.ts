/**
 * The versions of each model that were fully rolled out. Traffic falls back to them when a newer version is halted.
 */

/** Maximum number of stable versions in memory, for each model. */
const maxRetainedVersions = 16;

/** Holds the stable versions of all models. */
export class StableVersions {
    /** By model, the newest version last. */
    readonly #models = new Map<string, readonly string[]>();

    /** Adds a version as the newest one of its model. */
    add(model: string, version: string): void {
        const others = this.get(model).filter(other => other !== version);
        this.#models.set(model, [...others, version].slice(-maxRetainedVersions));
    }

    /** Returns the stable versions of a model, the newest last. */
    get(model: string): readonly string[] {
        return this.#models.get(model) ?? [];
    }

    /** Returns the versions of the same model that became stable before a version, the newest last. */
    getBefore(version: string): readonly string[] {
        for (const versions of this.#models.values()) {
            const index = versions.lastIndexOf(version);
            if (index !== -1) {
                return versions.slice(0, index);
            }
        }
        return [];
    }

    /** Returns the stable versions of all models. */
    getAll(): Readonly<Record<string, readonly string[]>> {
        return Object.fromEntries(this.#models);
    }

    /** Replaces the versions by those of a snapshot. */
    replace(models: Readonly<Record<string, readonly string[]>>): void {
        this.#models.clear();
        for (const [model, versions] of Object.entries(models)) {
            this.#models.set(model, versions);
        }
    }
}
