/**
 * Settings of the processes: entries and the ledger.
 */
import { err, ok, type Result } from "neverthrow";
import type { Mistake } from "./mistake.js";
import type { SettingDocument } from "./settingDocument.js";
import { address, httpUrl, integer, name, optional, secret, type SettingValues, text, toggle } from "./settingKey.js";
import { checkSettings, defineSection, getValues, type SettingSchema } from "./settingSchema.js";

const second = 1_000;
const minute = 60 * second;
/** A shorter secret could be guessed, and with it the version that a session is pinned to could be chosen by callers. */
const signingKeyLength = 32;

/** Within less time hardly a rating comes in, and a version would be compared with its own first bad answers. */
const leastWindowSeconds = 10;

function milliseconds(description: string, defaultMilliseconds: number, maximum = 10 * minute) {
    const defaultText = String(defaultMilliseconds);
    return integer({ description, defaultText, example: defaultText, minimum: 1, maximum, unit: "milliseconds" });
}

function count(description: string, defaultCount: number, maximum = 1_000_000) {
    const defaultText = String(defaultCount);
    return integer({ description, defaultText, example: defaultText, minimum: 1, maximum });
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
    gossip_interval_ms: milliseconds("Pause between two exchanges with peers.", 500),
    peer_timeout_ms: milliseconds("A peer that answers no call for this long counts as gone.", 3 * second),
    lease_term_ms: milliseconds("Term of a lease.", 10 * second),
    lease_drift_ms: milliseconds("Allowance for clocks that run at different rates.", second),
    vm_list_interval_ms: milliseconds("Pause between two reads of the VM list.", second),
    load_interval_ms: milliseconds("Shortest pause between two reads of an upstream's load.", 500),
    order_interval_ms: milliseconds("Pause between two looks at which versions engines have loaded.", 2 * second),
    log_timeout_ms: milliseconds("How long to wait for an answer of the log.", 5 * second),
    log_wait_ms: milliseconds("How long a long poll of the log waits.", 2 * second),
    upstream_connect_timeout_ms: milliseconds("How long to wait for a connection to an upstream.", second),
    upstream_idle_timeout_ms: milliseconds(
        "How long an upstream may send nothing before it counts as lost.",
        30 * second,
    ),
    settled_window_s: integer({
        description:
            "How far back a change of a settled version to the worse is looked for. It is compared with what is "
            + "older. Set it alike at all entries.",
        defaultText: "600",
        example: "600",
        minimum: leastWindowSeconds,
        maximum: 86_400,
        unit: "seconds",
    }),
    addresses_keep_ms: milliseconds("How long callers may keep the answer about addresses.", 10 * second),
    resume_grace_ms: milliseconds(
        "How long an answer goes on whose caller vanished, so that it can be resumed.",
        3_000,
    ),
    drain_timeout_ms: milliseconds("How long a graceful shutdown waits for open streams.", 2 * minute),
    bill_flush_ms: milliseconds("Pause between two appends of bills.", second),
    claim_batch_ms: milliseconds("How long a collector gathers claims before it appends them.", 10),
    snapshot_interval_ms: milliseconds(
        "Pause between two snapshots in the log; keep it well under the log's retention.",
        10 * minute,
        24 * 60 * minute,
    ),
}, false);

const limitsSection = defineSection("limits", "Bounds of what the process keeps and takes.", {
    body_bytes: count("Largest body of a request, in bytes.", 8_388_608, 134_217_728),
    open_requests: count("Requests that it works on at once.", 2_000),
    kept_bills: count("Bills that wait for the log; above it, new work is refused.", 50_000),
    kept_stream_bytes: count("Bytes of finished streams kept for callers who resume.", 33_554_432, 1_073_741_824),
    sessions: count("Session pins kept in memory.", 200_000),
    retry_percent: integer({
        description: "Retries allowed, as a part of first attempts.",
        defaultText: "10",
        example: "10",
        minimum: 0,
        maximum: 100,
        unit: "percent",
    }),
    load_polls: count("Upstreams that the process asks for their load in a second; longest unheard first.", 16),
    subset: count("Upstreams of a pool that the process probes for load.", 32),
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
        minimumLength: signingKeyLength,
        description: "Secret that signs session tokens, the same on every entry of the site.",
        example: "replace-me-with-32-random-characters",
    }),
    previous_signing_key: optional(secret({
        minimumLength: signingKeyLength,
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
export function parseEntrySettings(content: string, file: string): Result<EntrySettings, readonly Mistake[]> {
    return checkSettings(content, file, entrySchema).andThen(document => {
        const mistakes = [tlsSection, upstreamTlsSection].flatMap(({ title }) => checkCertificates(document, title));
        return mistakes.length === 0 ? ok(readEntry(document)) : err(mistakes);
    });
}

/**
 * Reads a ledger's settings.
 * @param content - The text of the file.
 * @param file - The file's name, for messages.
 */
export function parseLedgerSettings(content: string, file: string): Result<LedgerSettings, readonly Mistake[]> {
    return checkSettings(content, file, ledgerSchema).map(document => ({
        process: getValues(document, "process", processSection),
        platform: getValues(document, "platform", ledgerPlatformSection),
        ledger: getValues(document, "ledger", ledgerSection),
    }));
}

/** Keys that a section of certificates needs together; the server name is not always one. */
const neededTlsKeys = ["certificate", "key", "authority"];

/** Checks that a section is whole: with a part of it missing, the talk would be in the clear or not at all. */
function checkCertificates(document: SettingDocument, title: string): readonly Mistake[] {
    const section = document.sections.get(title);
    if (section === undefined) {
        return [];
    }
    const missing = neededTlsKeys.filter(key => !section.lines.has(key));
    return missing.map(key => ({
        file: document.file,
        line: section.line,
        section: section.name,
        key,
        message: "The key is missing beside the others of this section.",
        remedy: "Give certificate, key and authority, or remove the section.",
    }));
}

function readEntry(document: SettingDocument): EntrySettings {
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
