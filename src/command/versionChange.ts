/**
 * Creates changes of a version's status.
 */
import { err, ok, type Result } from "neverthrow";
import { Failure } from "../common/index.js";
import type { Change, Configuration } from "../configuration/index.js";
import { findClosestName } from "../settings/index.js";
import type { VersionStatus } from "../world/index.js";

/** Creates the change that sets a version's status, or returns a failure if the version does not exist. */
export function createStatusChange(
    configuration: Configuration,
    version: string,
    status: VersionStatus,
): Result<Change, Failure> {
    if (configuration.getVersion(version) === undefined) {
        const closestName = findClosestName(version, configuration.getVersions().map(knownVersion => knownVersion.id));
        return err(
            new Failure({
                kind: "invalid-input",
                message: `There is no version ${version}.`,
                remedy: closestName === undefined ? "See `rattanlock show versions`." : `Did you mean ${closestName}?`,
            }),
        );
    }
    return ok({ section: `version.${version}`, key: "status", value: status });
}
