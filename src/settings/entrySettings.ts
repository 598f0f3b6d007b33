/**
 * Settings of the processes: entries and the ledger.
 */
import { err, ok, type Result } from "neverthrow";
import type { SettingDocument } from "./settingDocument.js";
import { address, httpUrl, integer, name, optional, secret, type SettingValues, text, toggle } from "./settingKey.js";
import { checkSettings, defineSection, getValues, type SettingSchema } from "./settingSchema.js";
import type { ValidationError } from "./validationError.js";

const millisecondsPerSecond = 1_000;
const millisecondsPerMinute = 60 * millisecondsPerSecond;
/** A shorter secret could be guessed, and with it the version that a session is pinned to could be chosen by callers. */
const minSigningKeyLength = 32;

/** Within less time hardly a rating comes in, and a version would be compared with its own first bad answers. */
const minWindowSeconds = 10;

function createMillisecondsKey(description: string, defaultMilliseconds: number, max = 10 * millisecondsPerMinute) {
    const defaultText = String(defaultMilliseconds);
    return integer({ description, defaultText, example: defaultText, min: 1, max, unit: "milliseconds" });
}

function createCountKey(description: string, defaultCount: number, max = 1_000_000) {
    const defaultText = String(defaultCount);
    return integer({ description, defaultText, example: defaultText, min: 1, max });
}

const processSection = defineSection("process", "Who the process is and where it runs.", {
    name: name({ description: "Name of the process, unique in the site.", example: "entry-1" }),
    failure_domain: name({ description: "Failure domain of its VM.", example: "hall-mole" }),
    region: name({ description: "Region of its VM.", example: "catania" }),
});

const listenSection = defineSection("listen", "Where the process listens.", {
    callers: address({ description: "For callers: models, plain services and addresses.", example: "10.0.1.11:8080" }),
    peers: address({ description: "For the other entries.", example: "10.0.1.11:8081" }),
    operators: address({
        description: "For operators: status, metrics, health and time line.",
        example: "10.0.1.11:8082",
    }),
});

const platformSection = defineSection("platform", "Where the platform's services are.", {
    log_url: httpUrl({ description: "The append-only log.", example: "http://10.0.0.2:7000" }),
    vm_list_url: httpUrl({ description: "The VM list.", example: "http://10.0.0.2:7001" }),
    rating_url: httpUrl({ description: "The rating service.", example: "http://10.0.0.2:7002" }),
    weight_store_url: httpUrl({ description: "The weight store.", example: "http://10.0.0.2:7003" }),
});

const timingSection = defineSection("timing", "How often and how long.", {
    gossip_interval_ms: createMillisecondsKey("Pause between two exchanges with peers.", 500),
    peer_timeout_ms: createMillisecondsKey(
        "A peer that answers no call for this long counts as gone.",
        3 * millisecondsPerSecond,
    ),
    lease_term_ms: createMillisecondsKey("Term of a lease.", 10 * millisecondsPerSecond),
    lease_drift_ms: createMillisecondsKey("Allowance for clocks that run at different rates.", millisecondsPerSecond),
    vm_list_interval_ms: createMillisecondsKey("Pause between two reads of the VM list.", millisecondsPerSecond),
    load_interval_ms: createMillisecondsKey("Shortest pause between two reads of an upstream's load.", 500),
    order_interval_ms: createMillisecondsKey(
        "Pause between two looks at which versions engines have loaded.",
        2 * millisecondsPerSecond,
    ),
    log_timeout_ms: createMillisecondsKey("How long to wait for an answer of the log.", 5 * millisecondsPerSecond),
    log_wait_ms: createMillisecondsKey("How long a long poll of the log waits.", 2 * millisecondsPerSecond),
    upstream_connect_timeout_ms: createMillisecondsKey(
        "How long to wait for a connection to an upstream.",
        millisecondsPerSecond,
    ),
    upstream_idle_timeout_ms: createMillisecondsKey(
        "How long an upstream may send nothing before it counts as lost.",
        30 * millisecondsPerSecond,
    ),
    settled_window_s: integer({
        description:
            "How far back a change of a settled version to the worse is looked for. It is compared with what is "
            + "older. Set it alike at all entries.",
        defaultText: "600",
        example: "600",
        min: minWindowSeconds,
        max: 86_400,
        unit: "seconds",
    }),
    addresses_keep_ms: createMillisecondsKey(
        "How long callers may keep the answer about addresses.",
        10 * millisecondsPerSecond,
    ),
    resume_grace_ms: createMillisecondsKey(
        "How long an answer goes on whose caller vanished, so that it can be resumed.",
        3_000,
    ),
    drain_timeout_ms: createMillisecondsKey(
        "How long a graceful shutdown waits for open streams.",
        2 * millisecondsPerMinute,
    ),
    bill_flush_ms: createMillisecondsKey("Pause between two appends of bills.", millisecondsPerSecond),
    claim_batch_ms: createMillisecondsKey("How long a collector gathers claims before it appends them.", 10),
    snapshot_interval_ms: createMillisecondsKey(
        "Pause between two snapshots in the log; keep it well under the log's retention.",
        10 * millisecondsPerMinute,
        24 * 60 * millisecondsPerMinute,
    ),
}, false);

const limitsSection = defineSection("limits", "Bounds of what the process keeps and takes.", {
    body_bytes: createCountKey("Largest body of a request, in bytes.", 8_388_608, 134_217_728),
    open_requests: createCountKey("Requests that it works on at once.", 2_000),
    kept_bills: createCountKey("Bills that wait for the log; above it, new work is refused.", 50_000),
    kept_stream_bytes: createCountKey(
        "Bytes of finished streams kept for callers who resume.",
        33_554_432,
        1_073_741_824,
    ),
    sessions: createCountKey("Session pins kept in memory.", 200_000),
    retry_percent: integer({
        description: "Retries allowed, as a part of first attempts.",
        defaultText: "10",
        example: "10",
        min: 0,
        max: 100,
        unit: "percent",
    }),
    load_polls: createCountKey(
        "Upstreams that the process asks for their load in a second; longest unheard first.",
        16,
    ),
    subset: createCountKey("Upstreams of a pool that the process probes for load.", 32),
}, false);

const certificateKeys = {
    certificate: optional(text({ description: "PEM file of the certificate.", example: "/etc/rattanlock/entry.pem" })),
    key: optional(text({ description: "PEM file of its key.", example: "/etc/rattanlock/entry.key" })),
    authority: optional(text({ description: "PEM file of the authority.", example: "/etc/rattanlock/authority.pem" })),
    server_name: optional(text({
        description: "Name in the other side's certificates, when they name the site and not each VM's IP number.",
        example: "site.catania.example",
    })),
};

const tlsSection = defineSection(
    "tls",
    "Certificates between entries; without the section peers talk in the clear.",
    certificateKeys,
    false,
);

const upstreamTlsSection = defineSection(
    "upstream_tls",
    "Certificates towards upstreams; without the section they are called in the clear.",
    certificateKeys,
    false,
);

const sessionSection = defineSection("session", "Session tokens.", {
    signing_key: secret({
        minLength: minSigningKeyLength,
        description: "Secret that signs session tokens, the same on every entry of the site.",
        example: "replace-me-with-32-random-characters",
    }),
    previous_signing_key: optional(secret({
        minLength: minSigningKeyLength,
        description: "Secret that is still accepted while the site changes to a new one.",
        example: "the-one-used-until-yesterday-32-characters",
    })),
});

/** What an entry's settings file may hold. */
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

const ledgerSection = defineSection("ledger", "Where bills go.", {
    output: text({ description: "File that gets one bill a line; - is the standard output.", example: "bills.jsonl" }),
    follow: toggle({
        description: "Whether to go on reading at the end of the stream.",
        defaultText: "true",
        example: "true",
    }),
});

const ledgerPlatformSection = defineSection("platform", "Where the platform's services are.", {
    log_url: platformSection.keys.log_url,
});

/** What a ledger's settings file may hold. */
export const ledgerSchema: SettingSchema = {
    title: "Settings of a ledger",
    description: "Read by `rattanlock-ledger` when it starts.",
    sections: [processSection, ledgerPlatformSection, ledgerSection],
};

/** A section that names certificate files. */
export type TlsSettings = SettingValues<typeof certificateKeys>;

/** The checked settings of an entry. `drain_timeout_ms` of the file is `drainTimeoutMilliseconds` here. */
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

/** The checked settings of a ledger. */
export interface LedgerSettings {
    readonly process: SettingValues<typeof processSection.keys>;
    readonly platform: SettingValues<typeof ledgerPlatformSection.keys>;
    readonly ledger: SettingValues<typeof ledgerSection.keys>;
}

/**
 * Reads an entry's settings.
 * @param content - The text of the file.
 * @param file - The file's name, for messages.
 */
export function parseEntrySettings(content: string, file: string): Result<EntrySettings, readonly ValidationError[]> {
    return checkSettings(content, file, entrySchema).andThen(document => {
        const errors = [tlsSection, upstreamTlsSection].flatMap(({ title }) => checkCertificates(document, title));
        return errors.length === 0 ? ok(readEntrySettings(document)) : err(errors);
    });
}

/**
 * Reads a ledger's settings.
 * @param content - The text of the file.
 * @param file - The file's name, for messages.
 */
export function parseLedgerSettings(content: string, file: string): Result<LedgerSettings, readonly ValidationError[]> {
    return checkSettings(content, file, ledgerSchema).map(document => ({
        process: getValues(document, "process", processSection),
        platform: getValues(document, "platform", ledgerPlatformSection),
        ledger: getValues(document, "ledger", ledgerSection),
    }));
}

/** Keys that a section of certificates needs together; the server name is not always one. */
const requiredTlsKeys = ["certificate", "key", "authority"];

/** Checks that a section is whole: with a part of it missing, the talk would be in the clear or not at all. */
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
        message: "The key is missing beside the others of this section.",
        remedy: "Give certificate, key and authority, or remove the section.",
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
