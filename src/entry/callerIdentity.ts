/**
 * Identifies callers by the workspace of their API key and the application that they name.
 */
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { Failure } from "../common/index.js";
import type { Configuration, EffectiveSettings } from "../configuration/index.js";

/** Maximum length of a name in a caller's header, in characters. */
const maxNameLength = 200;
const namePattern = /^[\x21-\x7e]+$/;

/** Represents a caller, with the settings that apply to it. */
export interface CallerIdentity {
    readonly workspace: string;
    readonly application: string;
    readonly requestClass: string;
    readonly session: string | undefined;
    readonly settings: EffectiveSettings;
}

/**
 * Identifies the caller of a request.
 * @param headers - Headers of the request.
 * @param configuration - The configuration in force.
 */
export function identifyCaller(
    headers: IncomingHttpHeaders,
    configuration: Configuration,
): Result<CallerIdentity, Failure> {
    const key = readBearerKey(headers.authorization);
    const workspace = key === undefined ? undefined : configuration.getWorkspaceByKey(hashApiKey(key));
    if (workspace === undefined) {
        return err(createUnauthorizedFailure());
    }
    const application = readNameHeader(headers, "x-rattanlock-application");
    const requestClass = readNameHeader(headers, "x-rattanlock-class");
    const session = readNameHeader(headers, "x-rattanlock-session");
    for (const name of [application, requestClass, session]) {
        if (name.isErr()) {
            return err(name.error);
        }
    }
    const applicationName = application.unwrapOr(undefined) ?? "default";
    const className = requestClass.unwrapOr(undefined);
    return configuration
        .getEffective({ workspace: workspace.name, application: applicationName, session: className })
        .map(settings => ({
            workspace: workspace.name,
            application: applicationName,
            requestClass: className ?? settings.requestClass,
            session: session.unwrapOr(undefined),
            settings,
        }));
}

/**
 * Returns the hash under which the configuration stores an API key.
 * @param key - The key.
 */
export function hashApiKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

function readBearerKey(header: string | undefined): string | undefined {
    const match = /^Bearer (.{1,400})$/.exec(header ?? "");
    return match?.[1];
}

function readNameHeader(headers: IncomingHttpHeaders, name: string): Result<string | undefined, Failure> {
    const value = headers[name];
    if (value === undefined) {
        return ok(undefined);
    }
    if (typeof value !== "string" || value.length > maxNameLength || !namePattern.test(value)) {
        return err(
            new Failure({
                kind: "invalid-input",
                message: `The header ${name} is not a valid name.`,
                remedy: `Send 1 to ${maxNameLength} printable ASCII characters without spaces.`,
            }),
        );
    }
    return ok(value);
}

function createUnauthorizedFailure(): Failure {
    return new Failure({
        kind: "unauthorized",
        message: "No workspace has this API key.",
        remedy: "Send `Authorization: Bearer KEY` with a key of your workspace.",
    });
}
