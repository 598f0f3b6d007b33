/**
 * Which versions may serve a request: what the workspace allows, less what is halted, draining or not asked for.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import type { ModelVersion } from "../world/index.js";
import { automaticModel } from "./chatRequest.js";

/** What a selection depends on. */
export interface SelectionOptions {
    /** Versions that the workspace allows; withdrawn ones are not among them. */
    readonly allowed: readonly ModelVersion[];
    /** `auto`, a model or a version, as the caller asked. */
    readonly model: string;
    readonly isHalted: (version: string) => boolean;
}

/**
 * Selects the versions that may take work that belongs to no session yet.
 * @param options - What it depends on.
 */
export function selectVersions(options: SelectionOptions): Result<readonly ModelVersion[], Failure> {
    const matching = options.allowed.filter(version => matchesModel(version, options.model));
    if (matching.length === 0) {
        return err(createNotAllowedFailure(options.model));
    }
    const selected: ModelVersion[] = [];
    for (const version of matching) {
        const takesNewWork = version.status === "serving" || isVersionId(version, options.model);
        if (takesNewWork && version.status !== "draining" && !options.isHalted(version.id)) {
            selected.push(version);
        }
    }
    if (selected.length === 0) {
        return err(createUnavailableFailure(options.model));
    }
    return ok(selected);
}

/**
 * Checks that a session's version may go on serving it.
 * @param id - The version that the session is pinned to.
 * @param options - What it depends on.
 */
export function selectPinnedVersion(id: string, options: SelectionOptions): Result<ModelVersion, Failure> {
    const version = options.allowed.find(candidate => candidate.id === id);
    if (version === undefined || options.isHalted(id)) {
        return err(
            new Failure({
                kind: "gone",
                message: `The session is bound to ${id}, which takes no more work.`,
                remedy: "Start a new session; it will be bound to another version.",
            }),
        );
    }
    return ok(version);
}

function matchesModel(version: ModelVersion, model: string): boolean {
    return model === automaticModel || version.model === model || version.id === model;
}

function isVersionId(version: ModelVersion, model: string): boolean {
    return version.id === model;
}

function createNotAllowedFailure(model: string): Failure {
    return new Failure({
        kind: "not-allowed",
        message: `The workspace does not allow the model ${JSON.stringify(model)}.`,
        remedy: "Ask for \"auto\" or for a model that GET /v1/models lists.",
    });
}

function createUnavailableFailure(model: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `No version of ${JSON.stringify(model)} takes new work: all are halted, draining or candidates.`,
        remedy: "Come back later, or ask for another model.",
        retryAfterMilliseconds: 10_000,
    });
}
