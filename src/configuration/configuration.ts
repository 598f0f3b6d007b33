/**
 * Provides the configuration in force: the entry point to versions, workspaces and settings.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import { getPropertyName, type SettingKeys, type SettingValues } from "../settings/index.js";
import type { ModelVersion, VersionStatus, Workspace, WorkspaceApplication } from "../world/index.js";
import { getListItems, getModel, getScopeLineage } from "./allowance.js";
import { EffectiveSettings } from "./effectiveSettings.js";
import type { Tree } from "./tree.js";
import { poolKeys, rolloutKeys, scopeKeys, versionKeys } from "./treeSchema.js";

/** Represents the settings of roll-outs. */
export type RolloutSettings = SettingValues<typeof rolloutKeys>;

/** Represents the settings of a pool of runners. */
export type PoolSettings = SettingValues<typeof poolKeys>;

/** Identifies the workspace, application and session class whose settings are requested. */
export interface SettingsPath {
    readonly workspace: string;
    readonly application?: string;
    /** The session class. */
    readonly session?: string;
}

const versionPrefix = "version.";

/** Represents an immutable configuration. Every change creates a new instance. */
export class Configuration {
    readonly #tree: Tree;
    readonly #offset: number;
    readonly #versions: ReadonlyMap<string, ModelVersion>;
    readonly #workspaces: ReadonlyMap<string, Workspace>;
    readonly #workspacesByKey: ReadonlyMap<string, Workspace>;
    // Caches settings by section, because a lookup per request may take only microseconds. Paths without a section share
    // their parent's entry. Otherwise, callers that send invented names could make this cache grow without limit.
    readonly #effective = new Map<string, EffectiveSettings>();

    /** @internal */
    constructor(tree: Tree, offset: number) {
        this.#tree = tree;
        this.#offset = offset;
        this.#versions = readVersions(tree);
        this.#workspaces = readWorkspaces(tree);
        this.#workspacesByKey = indexByKey(this.#workspaces.values());
    }

    /** Returns the offset after the latest change that this configuration contains. */
    getOffset(): number {
        return this.#offset;
    }

    /** Returns the tree as text, as the operators wrote it. */
    getTree(): Tree {
        return this.#tree;
    }

    /** Returns all versions, including withdrawn ones. */
    getVersions(): readonly ModelVersion[] {
        return [...this.#versions.values()];
    }

    /** Returns the version with an identifier, or undefined if there is none. */
    getVersion(id: string): ModelVersion | undefined {
        return this.#versions.get(id);
    }

    /** Returns the version with an identifier, or throws if there is none. */
    getVersionOrThrow(id: string): ModelVersion {
        const version = this.#versions.get(id);
        if (version === undefined) {
            throw new Error(`There is no version ${id}. Look it up with getVersion when it may be missing.`);
        }
        return version;
    }

    /** Returns all workspaces. */
    getWorkspaces(): readonly Workspace[] {
        return [...this.#workspaces.values()];
    }

    /** Returns the workspace with a name, or undefined if there is none. */
    getWorkspace(name: string): Workspace | undefined {
        return this.#workspaces.get(name);
    }

    /**
     * Returns the workspace that owns an API key.
     * @param keyHash - The SHA-256 hash of the key, as hexadecimal text.
     */
    getWorkspaceByKey(keyHash: string): Workspace | undefined {
        return this.#workspacesByKey.get(keyHash);
    }

    /**
     * Returns the settings of a workspace, application and session class. An application or session class without a
     * section has its parent's settings.
     */
    getEffective(path: SettingsPath): Result<EffectiveSettings, Failure> {
        const section = this.#findScope(path);
        if (section === undefined) {
            return err(
                new Failure({
                    kind: "not-allowed",
                    message: `There is no workspace ${path.workspace}.`,
                    remedy: "Use the API key of a workspace in the configuration.",
                }),
            );
        }
        let effective = this.#effective.get(section);
        if (effective === undefined) {
            effective = new EffectiveSettings(this.#tree, getScopeLineage(section), this.getVersions());
            this.#effective.set(section, effective);
        }
        return ok(effective);
    }

    /**
     * Returns the roll-out settings for candidates of a model.
     * @param model - The model's name.
     */
    getRollout(model: string): RolloutSettings {
        return this.#readValues(rolloutKeys, [`rollout.${model}`, "rollout"]) as RolloutSettings;
    }

    /**
     * Returns the settings of a pool of runners, which control the orders to its engines.
     * @param pool - The pool's name in the VM list.
     */
    getPool(pool: string): PoolSettings {
        return this.#readValues(poolKeys, [`pool.${pool}`]) as PoolSettings;
    }

    /** Returns the maximum deadline over all scopes, in milliseconds. */
    getMaxDeadlineMilliseconds(): number {
        let maxDeadline = Number(scopeKeys.deadline_ms.defaultText);
        for (const keys of this.#tree.values()) {
            maxDeadline = Math.max(maxDeadline, Number(keys.get("deadline_ms") ?? 0));
        }
        return maxDeadline;
    }

    /** Parses keys. Each value is taken from the first section in the list that sets it, or else from the default. */
    #readValues(keys: SettingKeys, sections: readonly string[]): unknown {
        const values: Record<string, unknown> = {};
        for (const [name, key] of Object.entries(keys)) {
            const definingSection = sections.find(section => this.#tree.get(section)?.has(name));
            const text = definingSection === undefined
                ? key.defaultText ?? ""
                : this.#tree.get(definingSection)?.get(name) ?? "";
            values[getPropertyName(name)] = key.parse(text).unwrapOr(undefined as never);
        }
        return values;
    }

    #findScope(path: SettingsPath): string | undefined {
        const workspace = `workspace.${path.workspace}`;
        if (!this.#workspaces.has(path.workspace)) {
            return undefined;
        }
        if (path.application === undefined) {
            return workspace;
        }
        const application = `${workspace}.application.${path.application}`;
        const session = path.session === undefined ? undefined : `${application}.session.${path.session}`;
        if (session !== undefined && this.#tree.has(session)) {
            return session;
        }
        return this.#tree.has(application) ? application : workspace;
    }
}

function readVersions(tree: Tree): ReadonlyMap<string, ModelVersion> {
    const versions = new Map<string, ModelVersion>();
    for (const [section, keys] of tree) {
        if (!section.startsWith(versionPrefix)) {
            continue;
        }
        const id = section.slice(versionPrefix.length);
        versions.set(id, {
            id,
            model: getModel(id),
            status: (keys.get("status") ?? versionKeys.status.defaultText) as VersionStatus,
            inputPrice: Number(keys.get("input_price") ?? 0),
            outputPrice: Number(keys.get("output_price") ?? 0),
            expectedQuality: Number(keys.get("expected_quality") ?? versionKeys.expected_quality.defaultText),
        });
    }
    return versions;
}

function readWorkspaces(tree: Tree): ReadonlyMap<string, Workspace> {
    const applications = new Map<string, Map<string, string[]>>();
    for (const section of tree.keys()) {
        const [kind, workspace, , application, , sessionClass] = section.split(".");
        if (kind !== "workspace") {
            continue;
        }
        const workspaceApplications = applications.get(workspace) ?? new Map<string, string[]>();
        applications.set(workspace, workspaceApplications);
        if (application !== undefined) {
            const classes = workspaceApplications.get(application) ?? [];
            workspaceApplications.set(application, sessionClass === undefined ? classes : [...classes, sessionClass]);
        }
    }
    const workspaces = new Map<string, Workspace>();
    for (const [name, workspaceApplications] of applications) {
        workspaces.set(name, {
            name,
            keyHashes: getListItems(tree, `workspace.${name}`, "keys") ?? [],
            applications: [...workspaceApplications].map(createApplication),
        });
    }
    return workspaces;
}

function createApplication([name, sessionClasses]: readonly [string, readonly string[]]): WorkspaceApplication {
    return { name, sessionClasses };
}

function indexByKey(workspaces: Iterable<Workspace>): ReadonlyMap<string, Workspace> {
    const byKey = new Map<string, Workspace>();
    for (const workspace of workspaces) {
        for (const hash of workspace.keyHashes) {
            byKey.set(hash, workspace);
        }
    }
    return byKey;
}
