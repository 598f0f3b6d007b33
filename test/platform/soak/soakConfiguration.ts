/** The configurations that a soak test publishes. */
import { createConfiguration, type PlatformSite } from "../platformSite.js";
import type { RevokedKey } from "./soakChecks.js";
import type { SoakRecord } from "./soakRecord.js";

/** Publishes configurations: each has another key, and with each another one is revoked. */
export class SoakConfiguration {
    readonly revoked: RevokedKey[] = [];
    readonly #site: PlatformSite;
    readonly #record: SoakRecord;
    #version = 1;
    #keys: readonly string[] = ["key", "key-1"];

    constructor(site: PlatformSite, record: SoakRecord) {
        this.#site = site;
        this.#record = record;
    }

    /** Publishes the configuration in a new version. */
    publish(): void {
        this.#version += 1;
        this.#site.store.put("keyed.op", "config", createConfiguration(this.#version, this.#keys));
    }

    /** Publishes a configuration with the key that is used after all faults. */
    publishLast(): void {
        this.#keys = ["key", "key-last"];
        this.publish();
    }

    /** Revokes the latest API key and publishes another one. */
    revoke(): void {
        const key = this.#keys[1];
        this.#record.addFault(`key ${key} revoked`);
        this.#keys = ["key", `key-${this.#version + 1}`];
        this.publish();
        this.revoked.push({ key, at: performance.now() });
    }

    /** Returns a key that is in force or that was the last to be revoked. */
    drawKey(): string {
        const keys = [...this.#keys, ...this.revoked.slice(-1).map(({ key }) => key)];
        return keys[Math.floor(Math.random() * keys.length)];
    }
}
