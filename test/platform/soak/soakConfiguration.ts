/** The configurations that a soak test publishes. */
import { createConfiguration, type PlatformSite } from "../platformSite.js";
import type { RevokedKey } from "./soakChecks.js";
import type { SoakRecord } from "./soakRecord.js";

/** What changes in a configuration besides its keys. */
export const configurationChanges = ["idle", "timeout", "route"] as const;

const minRouteTimeoutMilliseconds = 11_000;
const routeTimeoutStepMilliseconds = 500;
const minIdleMilliseconds = 6_000;
const idleStepMilliseconds = 1_500;
const maxAttempts = 2;
/** Number of values that each limit takes in turn. */
const valueCount = 5;

interface SiteConfiguration {
    readonly routes: readonly { readonly max_attempts: number; }[];
    readonly limits: Readonly<Record<string, number>>;
}

/** Publishes configurations: each has another key, and with each another one is revoked. */
export class SoakConfiguration {
    readonly revoked: RevokedKey[] = [];
    readonly #site: PlatformSite;
    readonly #record: SoakRecord;
    readonly #isVaried: boolean;
    /** How often each part has changed. */
    readonly #changes = { idle: 0, timeout: 0, route: 0 };
    #version = 1;
    #keys: readonly string[] = ["key", "key-1"];

    /**
     * @param site - The site that gets the configurations.
     * @param record - Records the changes.
     * @param isVaried - Whether the limits and routes are those for long streams, which can be changed.
     */
    constructor(site: PlatformSite, record: SoakRecord, isVaried: boolean) {
        this.#isVaried = isVaried;
        this.#site = site;
        this.#record = record;
    }

    /** Changes the idle limit, the timeouts or the routes. */
    change(change: (typeof configurationChanges)[number]): void {
        this.#record.addFault(`configuration: ${change} changes`);
        this.#changes[change] += 1;
        this.publish();
    }

    /** Publishes the configuration in a new version. */
    publish(): void {
        this.#version += 1;
        this.#site.store.put("keyed.op", "config", this.#create());
    }

    #create(): object {
        const configuration = createConfiguration(this.#version, this.#keys) as SiteConfiguration;
        const { idle, timeout, route } = this.#changes;
        if (!this.#isVaried) {
            return configuration;
        }
        const routes = configuration.routes.map(original => ({
            ...original,
            timeout_ms: minRouteTimeoutMilliseconds + timeout % valueCount * routeTimeoutStepMilliseconds,
            max_attempts: Math.min(original.max_attempts, maxAttempts),
        }));
        const added = { ...routes[0], name: `call-${route}`, path_prefix: `/added-${route}/` };
        const idleMilliseconds = minIdleMilliseconds + idle % valueCount * idleStepMilliseconds;
        const limits = { ...configuration.limits, idle_timeout_ms: idleMilliseconds };
        return { ...configuration, routes: [...routes, added], limits };
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
