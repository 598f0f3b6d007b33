/**
 * Resolves the settings that apply to a request of a workspace, application and session class.
 */
import { getPropertyName, type SettingValues } from "../settings/index.js";
import type { ModelVersion } from "../world/index.js";
import { getAllowedServices, isVersionAllowed } from "./allowance.js";
import type { Tree } from "./tree.js";
import { scopeKeys } from "./treeSchema.js";

/** Represents a key that scopes inherit. */
export type ScopeKey = keyof typeof scopeKeys;

/** Represents the settings in force for one scope, with the section that each value comes from. */
export class EffectiveSettings {
    readonly #origins: ReadonlyMap<ScopeKey, string>;
    /** Versions that are allowed and not withdrawn, including candidates and draining versions. */
    readonly allowedVersions: readonly ModelVersion[];
    /** Pools of plain services that requests may be sent to. */
    readonly services: readonly string[];
    readonly targetQuality: number;
    readonly confidence: number;
    readonly requestClass: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Weight for fair sharing under overload. */
    readonly share: number;
    readonly maxTokens: number;
    readonly deadlineMilliseconds: number;
    readonly firstTokenMilliseconds: number;
    /** Whether a session is pinned to its version. */
    readonly stickySession: boolean;
    readonly maxConfigurationAgeMilliseconds: number;
    readonly #allowed: ReadonlySet<string>;

    /** @internal */
    constructor(tree: Tree, lineage: readonly string[], versions: readonly ModelVersion[]) {
        const { values, origins } = resolveInherited(tree, lineage);
        this.#origins = origins;
        this.allowedVersions = versions.filter(version =>
            version.status !== "withdrawn"
            && isVersionAllowed(tree, lineage, version.id)
            && version.inputPrice <= getMaxPrice(tree, lineage, "max_input_price")
            && version.outputPrice <= getMaxPrice(tree, lineage, "max_output_price")
        );
        this.#allowed = new Set(this.allowedVersions.map(version => version.id));
        this.services = getAllowedServices(tree, lineage);
        this.targetQuality = values.targetQuality;
        this.confidence = values.confidence;
        this.requestClass = values.requestClass;
        this.priority = values.priority;
        this.share = values.share;
        this.maxTokens = values.maxTokens;
        this.deadlineMilliseconds = values.deadlineMilliseconds;
        this.firstTokenMilliseconds = values.firstTokenMilliseconds;
        this.stickySession = values.stickySession;
        this.maxConfigurationAgeMilliseconds = values.maxConfigurationAgeSeconds * 1_000;
    }

    /** Returns whether a request may run on a version. */
    isAllowed(version: string): boolean {
        return this.#allowed.has(version);
    }

    /**
     * Returns the section that a key's value comes from, or `default`. For a key whose values are narrowed along the
     * lineage, returns the nearest section that sets the key.
     */
    getOrigin(key: ScopeKey): string {
        return this.#origins.get(key) ?? "default";
    }
}

interface Inherited {
    readonly values: SettingValues<typeof scopeKeys>;
    readonly origins: ReadonlyMap<ScopeKey, string>;
}

function resolveInherited(tree: Tree, lineage: readonly string[]): Inherited {
    const values: Record<string, unknown> = {};
    const origins = new Map<ScopeKey, string>();
    for (const name of Object.keys(scopeKeys) as ScopeKey[]) {
        const key = scopeKeys[name];
        const origin = lineage.find(section => tree.get(section)?.has(name) === true);
        const text = origin === undefined ? key.defaultText : tree.get(origin)?.get(name);
        if (origin !== undefined) {
            origins.set(name, origin);
        }
        values[getPropertyName(name)] = text === undefined ? undefined : key.parse(text).unwrapOr(undefined);
    }
    return { values: values as SettingValues<typeof scopeKeys>, origins };
}

function getMaxPrice(tree: Tree, lineage: readonly string[], key: "max_input_price" | "max_output_price"): number {
    let maxPrice = Infinity;
    for (const section of lineage) {
        const text = tree.get(section)?.get(key);
        if (text !== undefined) {
            maxPrice = Math.min(maxPrice, Number(text));
        }
    }
    return maxPrice;
}
