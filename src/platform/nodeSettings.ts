/**
 * Settings of a node on the platform, in the form of `deploy/settings.ini`.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { parseDocument, type ValidationError } from "../settings/index.js";

/** Where to listen or call. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
}

/** The checked settings of a node. */
export interface NodeSettings {
    readonly name: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly listen: {
        readonly callers: Endpoint;
        readonly ready: Endpoint;
        readonly peers: Endpoint;
        readonly addresses: Endpoint;
        readonly metrics: Endpoint;
    };
    /** Addresses of a few peers to begin with. */
    readonly seeds: readonly Endpoint[];
    readonly store: string;
    readonly bounds: {
        /** A published configuration is in force within so long, in milliseconds. */
        readonly configurationMilliseconds: number;
        /** A key that was taken away is refused everywhere after so long, in milliseconds. */
        readonly revocationMilliseconds: number;
        /** An upstream that announced its leaving gets nothing new after so long, in milliseconds. */
        readonly drainMilliseconds: number;
        /** Time from the signal to stop until the process is killed, in milliseconds. */
        readonly stopMilliseconds: number;
        /** Repeats that each request allows, and those that all nodes together may make beyond that in a window. */
        readonly retryRatio: number;
        readonly retryWindowMilliseconds: number;
        readonly retryExtra: number;
        /** Part of a pool's requests, and a number of them beyond it, that a bad version may get. */
        readonly exposureShare: number;
        readonly exposureExtra: number;
        /** Requests of a session that follow each other within this time belong together, in milliseconds. */
        readonly sessionMilliseconds: number;
        /** How long callers keep addresses, at most. */
        readonly addressKeepSeconds: number;
    };
}

/** The settings in force, which a changed file replaces while the node runs. */
export class LiveSettings {
    #settings: NodeSettings;

    /** @param settings - The settings at the start. */
    constructor(settings: NodeSettings) {
        this.#settings = settings;
    }

    /** Returns the settings in force. */
    get(): NodeSettings {
        return this.#settings;
    }

    /** Replaces them. */
    set(settings: NodeSettings): void {
        this.#settings = settings;
    }
}

const endpointSchema = z.string().regex(/^[\d.]+:\d+$/, "write HOST:PORT with an IP number").transform(text => {
    const [host, port] = text.split(":");
    return { host, port: Number(port) };
});
const numberSchema = z.coerce.number().nonnegative();
const settingsSchema = z.object({
    node: z.object({
        name: z.string().min(1),
        address: z.string().min(1),
        failure_domain: z.string().min(1),
        region: z.string().min(1),
    }),
    listen: z.object({
        callers: endpointSchema,
        ready: endpointSchema,
        peers: endpointSchema,
        addresses: endpointSchema,
        metrics: endpointSchema,
    }),
    peers: z.object({
        seeds: z.string().default("")
            .transform(text => text.split(",").map(seed => seed.trim()).filter(seed => seed !== ""))
            .pipe(z.array(endpointSchema)),
    }),
    store: z.object({ address: z.string().regex(/^[\d.]+:\d+$/, "write HOST:PORT with an IP number") }),
    bounds: z.object({
        config_apply_ms: numberSchema,
        revoke_ms: numberSchema,
        drain_ms: numberSchema,
        stop_grace_s: numberSchema,
        retry_ratio: numberSchema,
        retry_window_s: numberSchema,
        retry_extra: numberSchema,
        exposure_share: numberSchema,
        exposure_extra: numberSchema,
        session_s: numberSchema,
        address_keep_s: numberSchema,
    }),
});

const millisecondsPerSecond = 1_000;

/**
 * Parses settings.
 * @param content - The file's content.
 * @param file - Its name, for messages.
 */
export function parseNodeSettings(content: string, file: string): Result<NodeSettings, readonly ValidationError[]> {
    const document = parseDocument(content, file);
    const raw: Record<string, Record<string, string>> = {};
    for (const section of document.sections.values()) {
        raw[section.name] = Object.fromEntries(Array.from(section.lines.values(), line => [line.key, line.value]));
    }
    const parsed = settingsSchema.safeParse(raw);
    if (!parsed.success || document.errors.length > 0) {
        const issues = parsed.error?.issues ?? [];
        return err([...document.errors, ...issues.map(issue => toValidationError(issue, document, file))]);
    }
    const { node, listen, peers, store, bounds } = parsed.data;
    return ok({
        name: node.name,
        address: node.address,
        failureDomain: node.failure_domain,
        region: node.region,
        listen,
        seeds: peers.seeds,
        store: store.address,
        bounds: {
            configurationMilliseconds: bounds.config_apply_ms,
            revocationMilliseconds: bounds.revoke_ms,
            drainMilliseconds: bounds.drain_ms,
            stopMilliseconds: bounds.stop_grace_s * millisecondsPerSecond,
            retryRatio: bounds.retry_ratio,
            retryWindowMilliseconds: bounds.retry_window_s * millisecondsPerSecond,
            retryExtra: bounds.retry_extra,
            exposureShare: bounds.exposure_share,
            exposureExtra: bounds.exposure_extra,
            sessionMilliseconds: bounds.session_s * millisecondsPerSecond,
            addressKeepSeconds: bounds.address_keep_s,
        },
    });
}

function toValidationError(
    issue: z.core.$ZodIssue,
    document: ReturnType<typeof parseDocument>,
    file: string,
): ValidationError {
    const [section, key] = issue.path.map(String);
    const found = document.sections.get(section ?? "");
    return {
        file,
        line: found?.lines.get(key ?? "")?.line ?? found?.line ?? 0,
        section: section ?? "",
        key: key ?? "",
        message: `${issue.message}.`,
        remedy: "Compare with deploy/settings.ini.",
    };
}
