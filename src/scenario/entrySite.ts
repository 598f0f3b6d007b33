/**
 * A site with entries that a scenario controls. Its processes communicate over proxied links, so that faults can be
 * injected; the caller reaches each entry over such a link too.
 */
import type { Change } from "../configuration/index.js";
import { callJson, getApiKey, type PlatformService, type RunningProcess, setFaults, Site } from "../testbench/index.js";
import type { ProcessGroup, SiteDescription } from "../testbench/index.js";
import { callerName, type ScenarioSite, type VmListState } from "./scenarioSite.js";

/** Matches every entry as the source of a link. */
const everyEntry = "*";
const callerLastByte = 190;
const platformServices: readonly string[] = [
    "log",
    "vm-list",
    "rating",
    "weight-store",
    "proxy",
] satisfies PlatformService[];

/** Controls a running site with entries. */
export class EntrySite implements ScenarioSite {
    readonly #site: Site;
    /** Address of the caller's route to each entry. */
    readonly #routeAddresses: ReadonlyMap<string, string>;

    private constructor(site: Site, routes: ReadonlyMap<string, string>) {
        this.#site = site;
        this.#routeAddresses = routes;
    }

    /**
     * Starts a site with proxied links.
     * @param group - The group that the processes are added to.
     * @param description - The description of the site.
     */
    static async start(group: ProcessGroup, description: SiteDescription): Promise<EntrySite> {
        const site = await Site.start(group, { ...description, hasProxiedLinks: true });
        const routes = new Map<string, string>();
        for (const { name, callerAddress } of site.getEntries()) {
            const { listen } = await callJson<{ readonly listen: string; }>({
                address: site.getPlatformAddress("proxy"),
                path: `/routes/${encodeURIComponent(`${callerName}>${name}`)}`,
                method: "PUT",
                body: { listen: `${description.prefix}.${callerLastByte}:0`, target: callerAddress },
            });
            routes.set(name, listen);
        }
        return new EntrySite(site, routes);
    }

    /** Rejects, since the site has already started all its processes. */
    start(kind: string, name: string): Promise<void> {
        return Promise.reject(
            new Error(`This site starts its own processes. Leave out "start ${kind} ${name}" or use start NAME.`),
        );
    }

    async restart(name: string): Promise<void> {
        if (!this.getProcess(name).hasExited()) {
            throw new Error(`${name} is still running. Stop or kill it first.`);
        }
        await this.#site.startEntry(name);
    }

    getProcess(name: string): RunningProcess {
        if (platformServices.includes(name)) {
            throw new Error(`${name} cannot be stopped here. Use outage, fault or cut *>${name}.`);
        }
        return this.#isEntry(name) ? this.#site.getEntryOrThrow(name).process : this.#site.getUpstreamOrThrow(name);
    }

    getAddress(name: string): string {
        return this.#routeAddresses.get(name) ?? this.getControlAddress(name);
    }

    getControlAddress(name: string): string {
        return platformServices.includes(name)
            ? this.#site.getPlatformAddress(name as PlatformService)
            : this.getProcess(name).getAddress();
    }

    getApiKey(workspace: string): string {
        return getApiKey(workspace);
    }

    async getStatus(name: string): Promise<Readonly<Record<string, unknown>>> {
        if (this.#isEntry(name)) {
            return { ...await this.#site.getStatus(name) };
        }
        return callJson({ address: this.getControlAddress(name), path: "/faults" });
    }

    async setLinkFaults(from: string, to: string, faults: object): Promise<void> {
        if (from === callerName) {
            await setFaults(this.#site.getPlatformAddress("proxy"), { route: `${from}>${to}`, ...faults });
            return;
        }
        for (const { name } of this.#site.getEntries()) {
            if (name !== to && (from === everyEntry || from === name)) {
                await this.#site.setLinkFaults(name, to, faults);
            }
        }
    }

    async setVmState(name: string, state: VmListState): Promise<void> {
        await this.#site.setVmState(name, state);
    }

    publish(changes: readonly Change[]): Promise<number> {
        return this.#site.publish(changes, "scenario");
    }

    async waitUntilApplied(offset: number): Promise<void> {
        await this.#site.waitUntilApplied(offset);
    }

    #isEntry(name: string): boolean {
        return this.#site.getEntries().some(entry => entry.name === name);
    }
}
