/**
 * Selects the versions that may serve a request: those that the workspace allows and that match the requested model,
 * except halted and draining ones.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import type { ModelVersion } from "../world/index.js";
import { automaticModel } from "./chatRequest.js";

/** Options of a selection. */
export interface SelectionOptions {
    /** Versions that the workspace allows, without withdrawn ones. */
    readonly allowed: readonly ModelVersion[];
    /** `auto`, a model or a version, as the caller requested. */
    readonly model: string;
    readonly isHalted: (version: string) => boolean;
}

/**
 * Selects the versions that may serve a request without a pinned version.
 * @param options - Options of the selection.
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
 * Checks that a session's version may continue to serve the session.
 * @param id - The version to which the session is pinned.
 * @param options - Options of the selection.
 */
export function selectPinnedVersion(id: string, options: SelectionOptions): Result<ModelVersion, Failure> {
    const version = options.allowed.find(candidate => candidate.id === id);
    if (version === undefined || options.isHalted(id)) {
        return err(
            new Failure({
                kind: "gone",
                message: `The session is pinned to ${id}, which accepts no more work.`,
                remedy: "Start a new session; it will be pinned to another version.",
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
        remedy: "Request \"auto\" or a model that GET /v1/models lists.",
    });
}

function createUnavailableFailure(model: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `No version of ${JSON.stringify(model)} accepts new work: all are halted, draining or candidates.`,
        remedy: "Retry later, or request another model.",
        retryAfterMilliseconds: 10_000,
    });
}
