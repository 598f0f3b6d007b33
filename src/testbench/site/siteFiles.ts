/**
 * Creates the initial settings of a site's processes.
 */
import { stringify } from "ini";
import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Change } from "../../configuration/index.js";
import type { StandinSettings } from "../processGroup.js";
import { getApiKey, type SiteDescription } from "./siteDescription.js";

/** Represents the identity of an entry and the addresses in its settings, each as `HOST:PORT`. */
export interface EntryAddresses {
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly callers: string;
    readonly peers: string;
    readonly operators: string;
    readonly log: string;
    readonly vmList: string;
    readonly rating: string;
    readonly weightStore: string;
}

/** Short intervals and timeouts, so that tests and the demo run fast. */
const testTiming = {
    gossip_interval_ms: "100",
    lease_term_ms: "1500",
    lease_drift_ms: "200",
    vm_list_interval_ms: "200",
    load_interval_ms: "200",
    order_interval_ms: "200",
    log_timeout_ms: "1000",
    log_wait_ms: "500",
    upstream_connect_timeout_ms: "500",
    addresses_keep_ms: "500",
    drain_timeout_ms: "10000",
    bill_flush_ms: "200",
    claim_batch_ms: "5",
};

/**
 * Writes the settings file of an entry and returns its path.
 * @param addresses - Addresses of the entry and of the services that it uses.
 * @param overrides - Sections that override the defaults.
 */
export function writeEntrySettings(
    addresses: EntryAddresses,
    overrides: SiteDescription["entrySettings"] = {},
): string {
    const folder = mkdtempSync(join(tmpdir(), "rattanlock-site-"));
    const path = join(folder, `${addresses.name}.ini`);
    const sections = {
        process: {
            name: addresses.name,
            failure_domain: addresses.failureDomain,
            region: addresses.region,
        },
        listen: { callers: addresses.callers, peers: addresses.peers, operators: addresses.operators },
        platform: {
            log_url: `http://${addresses.log}`,
            vm_list_url: `http://${addresses.vmList}`,
            rating_url: `http://${addresses.rating}`,
            weight_store_url: `http://${addresses.weightStore}`,
        },
        timing: { ...testTiming, ...overrides.timing },
        session: { signing_key: "a-signing-key-for-tests-and-demos-only", ...overrides.session },
        ...omitBaseSections(overrides),
    };
    writeFileSync(path, stringify(sections));
    return path;
}

/**
 * Creates the changes that build a site's tree from an empty tree.
 * @param description - The description of the site.
 */
export function createTreeChanges(description: SiteDescription): readonly Change[] {
    const changes: Change[] = [];
    const addChanges = (section: string, keys: Readonly<Record<string, string>>): void => {
        for (const [key, value] of Object.entries(keys)) {
            changes.push({ section, key, value });
        }
    };
    for (const version of description.versions) {
        addChanges(`version.${version.id}`, {
            status: version.status,
            input_price: String(version.inputPrice),
            output_price: String(version.outputPrice),
            expected_quality: String(version.expectedQuality),
        });
    }
    for (const workspace of description.workspaces) {
        const hash = createHash("sha256").update(getApiKey(workspace.name)).digest("hex");
        addChanges(`workspace.${workspace.name}`, { keys: hash, ...workspace.settings });
    }
    for (const [section, keys] of Object.entries(description.sections ?? {})) {
        addChanges(section, keys);
    }
    return changes;
}

/**
 * Creates the initial settings of a site's runner.
 * @param description - The description of the site.
 * @param name - Name of the runner.
 */
export function createRunnerSettings(description: SiteDescription, name: string): StandinSettings {
    const settings: Record<string, string | number | boolean> = {
        name,
        versions: description.versions.map(version => version.id).join(","),
        ...description.runners.settings,
    };
    for (const version of description.versions) {
        settings[`version.${version.id}.quality`] = version.quality;
        for (const [requestClass, quality] of Object.entries(version.classQualities ?? {})) {
            settings[`version.${version.id}.quality.${requestClass}`] = quality;
        }
    }
    return settings;
}

function omitBaseSections(overrides: NonNullable<SiteDescription["entrySettings"]>) {
    const others: Record<string, Readonly<Record<string, string>>> = {};
    for (const [section, keys] of Object.entries(overrides)) {
        if (section !== "timing" && section !== "session") {
            others[section] = keys;
        }
    }
    return others;
}
