/**
 * Settings of a node on the platform, in the format of `deploy/settings.ini`.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { parseDocument, type ValidationError } from "../settings/index.js";

/** Address to listen on or to connect to. */
export interface Endpoint {
    readonly host: string;
    readonly port: number;
}

/** The validated settings of a node. */
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
    /** Addresses of a few peers for the first gossip exchanges. */
    readonly seeds: readonly Endpoint[];
    readonly store: string;
    /** Memory that the process may use, in MiB. Undefined where no limit is given. */
    readonly memoryMegabytes: number | undefined;
    readonly bounds: {
        /** Maximum time until a published configuration is in force. */
        readonly configurationMilliseconds: number;
        /** Maximum time until a revoked API key is refused by every node. */
        readonly revocationMilliseconds: number;
        /** Maximum time until an upstream that announced its departure receives no new requests. */
        readonly drainMilliseconds: number;
        /** Maximum time until an evacuated failure domain receives no new requests. Undefined where none can be evacuated. */
        readonly evacuationMilliseconds: number | undefined;
        /** Time from the stop signal until the process is killed. */
        readonly stopMilliseconds: number;
        /** Number of retries that each request permits, and the extra retries of all nodes together in one window. */
        readonly retryRatio: number;
        readonly retryWindowMilliseconds: number;
        readonly retryExtra: number;
        /** Share of a pool's requests that a bad version may receive, and the number of requests in addition to it. */
        readonly exposureShare: number;
        readonly exposureExtra: number;
        /** Maximum time between two requests of the same session. */
        readonly sessionMilliseconds: number;
        /** Maximum time for which callers may cache addresses. */
        readonly addressKeepSeconds: number;
    };
}

/** Holds the settings in force. A changed file replaces them while the node runs. */
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

    /** Replaces the settings. */
    set(settings: NodeSettings): void {
        this.#settings = settings;
    }
}

const endpointSchema = z.string().regex(/^[\d.]+:\d+$/, "write HOST:PORT with an IP address").transform(text => {
    const [host, port] = text.split(":");
    return { host, port: Number(port) };
});
const numberSchema = z.coerce.number().nonnegative();
/** A bound or limit that the platform leaves empty where it does not apply. */
const optionalNumberSchema = z.string().default("")
    .transform(text => text.trim() === "" ? undefined : Number(text))
    .pipe(z.number().nonnegative().optional());
/** Placeholder of the settings template that was not filled in, because the platform does not know the value. */
const placeholder = /^\{\{[^{}]+\}\}$/;
const memorySchema = z.string().optional()
    .transform(text => placeholder.test(text?.trim() ?? "") ? undefined : text)
    .pipe(optionalNumberSchema)
    .refine(limit => limit !== 0, "give a limit above 0, or none");
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
    store: z.object({ address: z.string().regex(/^[\d.]+:\d+$/, "write HOST:PORT with an IP address") }),
    limits: z.object({ memory_mb: memorySchema }).prefault({}),
    bounds: z.object({
        config_apply_ms: numberSchema,
        revoke_ms: numberSchema,
        drain_ms: numberSchema,
        evacuate_ms: optionalNumberSchema,
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
    const { node, listen, peers, store, limits, bounds } = parsed.data;
    return ok({
        name: node.name,
        address: node.address,
        failureDomain: node.failure_domain,
        region: node.region,
        listen,
        seeds: peers.seeds,
        store: store.address,
        memoryMegabytes: limits.memory_mb,
        bounds: {
            configurationMilliseconds: bounds.config_apply_ms,
            revocationMilliseconds: bounds.revoke_ms,
            drainMilliseconds: bounds.drain_ms,
            evacuationMilliseconds: bounds.evacuate_ms,
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
        remedy: "Compare the line with deploy/settings.ini.",
    };
}
