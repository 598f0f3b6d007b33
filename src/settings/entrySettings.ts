/**
 * Defines the settings of the processes: entries and the ledger.
 */
import { err, ok, type Result } from "neverthrow";
import type { SettingDocument } from "./settingDocument.js";
import { address, httpUrl, integer, name, optional, secret, type SettingValues, text, toggle } from "./settingKey.js";
import { checkSettings, defineSection, getValues, type SettingSchema } from "./settingSchema.js";
import type { ValidationError } from "./validationError.js";

const millisecondsPerSecond = 1_000;
const millisecondsPerMinute = 60 * millisecondsPerSecond;
/** With a shorter secret, callers could guess it and choose the version that a session is pinned to. */
const minSigningKeyLength = 32;

/** In a shorter window, few ratings arrive, and a version would be compared with its own first bad answers. */
const minWindowSeconds = 10;

function createMillisecondsKey(description: string, defaultMilliseconds: number, max = 10 * millisecondsPerMinute) {
    const defaultText = String(defaultMilliseconds);
    return integer({ description, defaultText, example: defaultText, min: 1, max, unit: "milliseconds" });
}

function createCountKey(description: string, defaultCount: number, max = 1_000_000) {
    const defaultText = String(defaultCount);
    return integer({ description, defaultText, example: defaultText, min: 1, max });
}

const processSection = defineSection("process", "Name and location of the process.", {
    name: name({ description: "Name of the process, unique in the site.", example: "entry-1" }),
    failure_domain: name({ description: "Failure domain of its VM.", example: "hall-mole" }),
    region: name({ description: "Region of its VM.", example: "catania" }),
});

const listenSection = defineSection("listen", "Addresses on which the process listens.", {
    callers: address({
        description: "Address for callers: models, plain services and addresses.",
        example: "10.0.1.11:8080",
    }),
    peers: address({ description: "Address for the other entries.", example: "10.0.1.11:8081" }),
    operators: address({
        description: "Address for operators: status, metrics, health and time line.",
        example: "10.0.1.11:8082",
    }),
});

const platformSection = defineSection("platform", "URLs of the platform's services.", {
    log_url: httpUrl({ description: "The append-only log.", example: "http://10.0.0.2:7000" }),
    vm_list_url: httpUrl({ description: "The VM list.", example: "http://10.0.0.2:7001" }),
    rating_url: httpUrl({ description: "The rating service.", example: "http://10.0.0.2:7002" }),
    weight_store_url: httpUrl({ description: "The weight store.", example: "http://10.0.0.2:7003" }),
});

const timingSection = defineSection("timing", "Intervals and timeouts.", {
    gossip_interval_ms: createMillisecondsKey("Interval between two gossip exchanges with peers.", 500),
    peer_timeout_ms: createMillisecondsKey(
        "A peer that answers no call for this long counts as departed.",
        3 * millisecondsPerSecond,
    ),
    lease_term_ms: createMillisecondsKey("Term of a lease.", 10 * millisecondsPerSecond),
    lease_drift_ms: createMillisecondsKey("Allowance for clocks that run at different rates.", millisecondsPerSecond),
    vm_list_interval_ms: createMillisecondsKey("Interval between two reads of the VM list.", millisecondsPerSecond),
    load_interval_ms: createMillisecondsKey("Minimum interval between two reads of an upstream's load.", 500),
    order_interval_ms: createMillisecondsKey(
        "Interval between two checks of which versions the engines have loaded.",
        2 * millisecondsPerSecond,
    ),
    log_timeout_ms: createMillisecondsKey("Timeout for an answer of the log.", 5 * millisecondsPerSecond),
    log_wait_ms: createMillisecondsKey("Maximum wait of a long poll of the log.", 2 * millisecondsPerSecond),
    upstream_connect_timeout_ms: createMillisecondsKey(
        "Timeout for connecting to an upstream.",
        millisecondsPerSecond,
    ),
    upstream_idle_timeout_ms: createMillisecondsKey(
        "Idle timeout of an upstream: if it sends nothing for this long, the connection counts as lost.",
        30 * millisecondsPerSecond,
    ),
    settled_window_s: integer({
        description:
            "Length of the recent window in which a stable version is checked for a decline in quality. It is compared "
            + "with the time before the window. Use the same value at all entries.",
        defaultText: "600",
        example: "600",
        min: minWindowSeconds,
        max: 86_400,
        unit: "seconds",
    }),
    addresses_keep_ms: createMillisecondsKey(
        "How long callers may cache the response with addresses.",
        10 * millisecondsPerSecond,
    ),
    resume_grace_ms: createMillisecondsKey(
        "How long an answer continues after its caller disconnected, so that it can be resumed.",
        3_000,
    ),
    drain_timeout_ms: createMillisecondsKey(
        "Timeout of a graceful shutdown for open streams.",
        2 * millisecondsPerMinute,
    ),
    bill_flush_ms: createMillisecondsKey("Interval between two appends of bills.", millisecondsPerSecond),
    claim_batch_ms: createMillisecondsKey("How long a collector batches claims before it appends them.", 10),
    snapshot_interval_ms: createMillisecondsKey(
        "Interval between two snapshots in the log; it must be well below the log's retention.",
        10 * millisecondsPerMinute,
        24 * 60 * millisecondsPerMinute,
    ),
}, false);

const limitsSection = defineSection("limits", "Limits on the work and memory of the process.", {
    body_bytes: createCountKey("Maximum size of a request body, in bytes.", 8_388_608, 134_217_728),
    body_memory_bytes: createCountKey(
        "Maximum bytes that the bodies of requests in progress may take together, and half as many for those of up to 64 KB.",
        67_108_864,
        4_294_967_296,
    ),
    open_requests: createCountKey("Maximum number of concurrent requests.", 2_000),
    kept_bills: createCountKey("Maximum number of bills that wait for the log; above it, new work is refused.", 50_000),
    kept_stream_bytes: createCountKey(
        "Maximum bytes of finished streams to retain for callers that resume.",
        33_554_432,
        1_073_741_824,
    ),
    sessions: createCountKey("Maximum number of session pins in memory.", 200_000),
    retry_percent: integer({
        description: "Retry budget, as a percentage of first attempts.",
        defaultText: "10",
        example: "10",
        min: 0,
        max: 100,
        unit: "percent",
    }),
    load_polls: createCountKey(
        "Number of upstreams whose load the process requests per second; the least recently seen first.",
        16,
    ),
    subset: createCountKey("Number of upstreams of a pool whose load the process probes.", 32),
}, false);

const certificateKeys = {
    certificate: optional(text({ description: "PEM file of the certificate.", example: "/etc/rattanlock/entry.pem" })),
    key: optional(
        text({ description: "PEM file of the certificate's private key.", example: "/etc/rattanlock/entry.key" }),
    ),
    authority: optional(
        text({ description: "PEM file of the certificate authority.", example: "/etc/rattanlock/authority.pem" }),
    ),
    server_name: optional(text({
        description: "Name in the peer's certificates, if they contain a site name instead of each VM's IP address.",
        example: "site.catania.example",
    })),
};

const tlsSection = defineSection(
    "tls",
    "Certificates between entries; without the section, connections between peers are not encrypted.",
    certificateKeys,
    false,
);

const upstreamTlsSection = defineSection(
    "upstream_tls",
    "Certificates for calls to upstreams; without the section, these calls are not encrypted.",
    certificateKeys,
    false,
);

const sessionSection = defineSection("session", "Session tokens.", {
    signing_key: secret({
        minLength: minSigningKeyLength,
        description: "Secret that signs session tokens; it must be the same at all entries of the site.",
        example: "replace-me-with-32-random-characters",
    }),
    previous_signing_key: optional(secret({
        minLength: minSigningKeyLength,
        description: "Previous secret, which is still accepted while the site changes to a new one.",
        example: "the-one-used-until-yesterday-32-characters",
    })),
});

/** Schema of an entry's settings file. */
export const entrySchema: SettingSchema = {
    title: "Settings of an entry",
    description: "Read by `rattanlock-entry` when it starts.",
    sections: [
        processSection,
        listenSection,
        platformSection,
        timingSection,
        limitsSection,
        tlsSection,
        upstreamTlsSection,
        sessionSection,
    ],
};

const ledgerSection = defineSection("ledger", "Output of bills.", {
    output: text({
        description: "File to write bills to, one per line; - stands for standard output.",
        example: "bills.jsonl",
    }),
    follow: toggle({
        description: "Whether to continue reading at the end of the stream.",
        defaultText: "true",
        example: "true",
    }),
});

const ledgerPlatformSection = defineSection("platform", "URLs of the platform's services.", {
    log_url: platformSection.keys.log_url,
});

/** Schema of a ledger's settings file. */
export const ledgerSchema: SettingSchema = {
    title: "Settings of a ledger",
    description: "Read by `rattanlock-ledger` when it starts.",
    sections: [processSection, ledgerPlatformSection, ledgerSection],
};

/** Represents a section with certificate files. */
export type TlsSettings = SettingValues<typeof certificateKeys>;

/** Represents the validated settings of an entry. `drain_timeout_ms` in the file is `drainTimeoutMilliseconds` here. */
export interface EntrySettings {
    readonly process: SettingValues<typeof processSection.keys>;
    readonly listen: SettingValues<typeof listenSection.keys>;
    readonly platform: SettingValues<typeof platformSection.keys>;
    readonly timing: SettingValues<typeof timingSection.keys>;
    readonly limits: SettingValues<typeof limitsSection.keys>;
    readonly tls: TlsSettings;
    readonly upstreamTls: TlsSettings;
    readonly session: SettingValues<typeof sessionSection.keys>;
}

/** Represents the validated settings of a ledger. */
export interface LedgerSettings {
    readonly process: SettingValues<typeof processSection.keys>;
    readonly platform: SettingValues<typeof ledgerPlatformSection.keys>;
    readonly ledger: SettingValues<typeof ledgerSection.keys>;
}

/**
 * Parses the settings of an entry.
 * @param content - The text of the file.
 * @param file - The file's name, used in error messages.
 */
export function parseEntrySettings(content: string, file: string): Result<EntrySettings, readonly ValidationError[]> {
    return checkSettings(content, file, entrySchema).andThen(document => {
        const errors = [tlsSection, upstreamTlsSection].flatMap(({ title }) => checkCertificates(document, title));
        return errors.length === 0 ? ok(readEntrySettings(document)) : err(errors);
    });
}

/**
 * Parses the settings of a ledger.
 * @param content - The text of the file.
 * @param file - The file's name, used in error messages.
 */
export function parseLedgerSettings(content: string, file: string): Result<LedgerSettings, readonly ValidationError[]> {
    return checkSettings(content, file, ledgerSchema).map(document => ({
        process: getValues(document, "process", processSection),
        platform: getValues(document, "platform", ledgerPlatformSection),
        ledger: getValues(document, "ledger", ledgerSection),
    }));
}

/** Keys that a section with certificates requires together; the server name is optional. */
const requiredTlsKeys = ["certificate", "key", "authority"];

/** Checks that a section is complete. With a missing key, connections would be unencrypted or would fail. */
function checkCertificates(document: SettingDocument, title: string): readonly ValidationError[] {
    const section = document.sections.get(title);
    if (section === undefined) {
        return [];
    }
    const missing = requiredTlsKeys.filter(key => !section.lines.has(key));
    return missing.map(key => ({
        file: document.file,
        line: section.line,
        section: section.name,
        key,
        message: "The key is missing, but other keys of this section are set.",
        remedy: "Set certificate, key and authority, or remove the section.",
    }));
}

function readEntrySettings(document: SettingDocument): EntrySettings {
    return {
        process: getValues(document, "process", processSection),
        listen: getValues(document, "listen", listenSection),
        platform: getValues(document, "platform", platformSection),
        timing: getValues(document, "timing", timingSection),
        limits: getValues(document, "limits", limitsSection),
        tls: getValues(document, "tls", tlsSection),
        upstreamTls: getValues(document, "upstream_tls", upstreamTlsSection),
        session: getValues(document, "session", sessionSection),
    };
}
