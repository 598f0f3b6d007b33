/**
 * Runs a site: stand-ins for the platform and the upstreams, and real entries.
 *
 * With proxied links, every directed connection of an entry goes through a route of the fault-injecting proxy. The route
 * is named `FROM>TO`, such as `entry-1>log` or `entry-1>entry-2`. Each entry then reads its own VM list, which contains
 * the addresses of the routes to the other VMs.
 */
import { fileURLToPath } from "node:url";
import type { Bill } from "../../bills/index.js";
import { callJson } from "../../caller/index.js";
import { type Change, createPublishRecord } from "../../configuration/index.js";
import type { LogEntry, LogRecord, StreamName } from "../../log/index.js";
import type { Vm } from "../../world/index.js";
import type { ProcessGroup } from "../processGroup.js";
import type { RunningProcess } from "../runningProcess.js";
import { waitUntil } from "../waitUntil.js";
import type { EntryStatus } from "./entryStatus.js";
import type { SiteDescription } from "./siteDescription.js";
import { createRunnerSettings, createTreeChanges, writeEntrySettings } from "./siteFiles.js";
import { SiteLinks } from "./siteLinks.js";
import { SiteLog } from "./siteLog.js";
import { VmLists } from "./vmLists.js";

const entryProgram = fileURLToPath(new URL("../../entry/main.js", import.meta.url));
/** First value of the last address byte for each kind of process. */
const lastBytes = { platform: 1, runners: 20, services: 80, entries: 100, links: 180 } as const;
const peerPortOffset = 1;
const operatorPortOffset = 2;
const vmListPortOffset = 3;
const linkPortOffset = 10;
const firstPort = 10_000;
/** Maximum number of ports of a site. Sites of test processes with consecutive identifiers get separate port ranges. */
const portsPerSite = 100;
const siteCount = 200;

/** Kinds of the platform's stand-ins. */
export type PlatformService = "log" | "vm-list" | "rating" | "weight-store" | "proxy";

/** Represents an entry of a site. */
export interface SiteEntry {
    readonly name: string;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly operatorAddress: string;
    readonly process: RunningProcess;
}

/** Represents a running site. */
export class Site {
    readonly #group: ProcessGroup;
    readonly #description: SiteDescription;
    readonly #port = firstPort + portsPerSite * (process.pid % siteCount);
    readonly #platformAddresses = new Map<PlatformService, string>();
    readonly #log = new SiteLog(() => this.getPlatformAddress("log"));
    readonly #platformProcesses = new Map<PlatformService, RunningProcess>();
    readonly #upstreams = new Map<string, RunningProcess>();
    readonly #entries = new Map<string, SiteEntry>();
    readonly #links: SiteLinks;
    readonly #vmLists: VmLists;

    private constructor(group: ProcessGroup, description: SiteDescription) {
        this.#group = group;
        this.#description = description;
        this.#links = new SiteLinks({
            getProxyAddress: () => this.getPlatformAddress("proxy"),
            host: `${description.prefix}.${lastBytes.links}`,
            port: this.#port + linkPortOffset,
        });
        this.#vmLists = new VmLists({
            getPlatformListAddress: () => this.getPlatformAddress("vm-list"),
            links: this.#links,
        });
    }

    /**
     * Starts a site and waits until every entry is ready.
     * @param group - The group that the processes are added to.
     * @param description - The description of the site.
     */
    static async start(group: ProcessGroup, description: SiteDescription): Promise<Site> {
        const site = new Site(group, description);
        await site.#startPlatform();
        await site.#startUpstreams();
        await site.publish(createTreeChanges(description), "operator");
        const names = Array.from({ length: description.entryCount }, (_, index) => `entry-${index + 1}`);
        for (const [index, name] of names.entries()) {
            await site.#addEntryVm(name, index);
        }
        await Promise.all(names.map(name => site.startEntry(name)));
        await site.waitUntilReady();
        return site;
    }

    /** Returns the address of a platform service. */
    getPlatformAddress(service: PlatformService): string {
        const address = this.#platformAddresses.get(service);
        if (address === undefined) {
            throw new Error(`The site has no ${service}.`);
        }
        return address;
    }

    /** Returns the process of a platform service. */
    getPlatformProcess(service: PlatformService): RunningProcess {
        const process = this.#platformProcesses.get(service);
        if (process === undefined) {
            throw new Error(`The site has no ${service}.`);
        }
        return process;
    }

    /** Returns the entries that were started, in the order in which they were first started. */
    getEntries(): readonly SiteEntry[] {
        return [...this.#entries.values()];
    }

    /** Returns the entry with a name, or throws when there is none. */
    getEntryOrThrow(name: string): SiteEntry {
        const entry = this.#entries.get(name);
        if (entry === undefined) {
            throw new Error(`There is no entry ${name}; there are ${[...this.#entries.keys()].join(", ")}.`);
        }
        return entry;
    }

    /** Returns the processes of the upstreams by name. */
    getUpstreams(): ReadonlyMap<string, RunningProcess> {
        return this.#upstreams;
    }

    /** Returns the upstream with a name, or throws when there is none. */
    getUpstreamOrThrow(name: string): RunningProcess {
        const upstream = this.#upstreams.get(name);
        if (upstream === undefined) {
            throw new Error(`There is no upstream ${name}; there are ${[...this.#upstreams.keys()].join(", ")}.`);
        }
        return upstream;
    }

    /**
     * Starts an entry. An entry that was killed before restarts with the same name and addresses.
     * @param name - Name of the entry's VM, such as `entry-1`.
     */
    async startEntry(name: string): Promise<SiteEntry> {
        const vm = this.#vmLists.getVmOrThrow(name);
        const settings = await this.#writeSettings(vm);
        const started = await this.#group.start({
            program: entryProgram,
            args: ["--settings", settings],
            env: this.#description.entryEnvironment,
        });
        const entry = {
            name,
            failureDomain: vm.failureDomain,
            callerAddress: `${vm.address}:${vm.port}`,
            operatorAddress: `${vm.address}:${vm.port + operatorPortOffset}`,
            process: started,
        };
        this.#entries.set(name, entry);
        return entry;
    }

    /**
     * Kills an entry and replaces it by a new VM with the same address. The site must not have proxied links.
     * @param name - The entry to replace.
     * @param id - Identifier of the new VM.
     * @throws When the site has proxied links.
     */
    async replaceEntry(name: string, id: string): Promise<SiteEntry> {
        if (this.#description.hasProxiedLinks === true) {
            throw new Error("The site has proxied links. Replace entries on a site without them.");
        }
        const vm = this.#vmLists.getVmOrThrow(name);
        await this.getEntryOrThrow(name).process.kill();
        await this.#vmLists.remove(name);
        this.#entries.delete(name);
        await this.#vmLists.add({ ...vm, id });
        return this.startEntry(id);
    }

    /** Waits until all running entries are ready and report each other as alive. */
    async waitUntilReady(): Promise<void> {
        const running = this.getEntries().filter(entry => !entry.process.hasExited());
        for (const entry of running) {
            await waitUntil(async () => {
                const status = await this.getStatus(entry.name);
                const alive = status.members.filter(member => member.state === "alive").length;
                return status.ready && alive >= running.length && status.upstreams.length > 0;
            }, { description: `${entry.name} to be ready` });
        }
    }

    /** Returns the status that an entry serves to operators. */
    getStatus(name: string): Promise<EntryStatus> {
        return callJson<EntryStatus>({ address: this.getEntryOrThrow(name).operatorAddress, path: "/status" });
    }

    /**
     * Publishes changes of the tree without waiting until they are in force.
     * @param changes - The changes.
     * @param author - Author of the publication.
     * @param basedOn - The offset up to which the author has read the stream; the end of the stream by default.
     * @returns The record's offset.
     */
    async publish(changes: readonly Change[], author = "operator", basedOn?: number): Promise<number> {
        const baseOffset = basedOn ?? await this.#log.getNextOffset("config");
        const publication = { author, reason: "test", basedOn: baseOffset, changes };
        return this.append("config", createPublishRecord(publication, author));
    }

    /**
     * Appends a record to the log.
     * @param stream - The stream.
     * @param record - The record.
     * @returns Its offset.
     */
    append(stream: StreamName, record: LogRecord): Promise<number> {
        return this.#log.append(stream, record);
    }

    /**
     * Reads all entries of a stream.
     * @param stream - The stream.
     */
    readStream(stream: StreamName): Promise<readonly LogEntry[]> {
        return this.#log.readStream(stream);
    }

    /** Folds the stream of bills as the ledger does, and returns one bill for each request. */
    readBills(): Promise<ReadonlyMap<string, Bill>> {
        return this.#log.readBills();
    }

    /**
     * Waits until entries have folded the config stream up to an offset.
     * @param offset - Offset of the record.
     * @param names - Names of the entries; all running entries by default.
     */
    async waitUntilApplied(offset: number, names?: readonly string[]): Promise<void> {
        const entryNames = names
            ?? this.getEntries().filter(entry => !entry.process.hasExited()).map(entry => entry.name);
        for (const name of entryNames) {
            await waitUntil(async () => (await this.getStatus(name)).configurationOffset > offset, {
                description: `configuration ${offset} in force at ${name}`,
            });
        }
    }

    /**
     * Sets faults of a directed link.
     * @param from - Name of the entry that uses the link.
     * @param to - `log`, `rating`, or the name of an entry or upstream.
     * @param faults - Faults in the proxy's format.
     */
    async setLinkFaults(from: string, to: string, faults: object): Promise<void> {
        await this.#links.setFaults(from, to, faults);
    }

    /**
     * Changes the state of a VM on the VM lists.
     * @param id - Identifier of the VM.
     * @param state - `live`, `leaving`, or `gone` to remove the VM from the lists.
     */
    async setVmState(id: string, state: "live" | "leaving" | "gone"): Promise<void> {
        await this.#vmLists.setState(id, state);
    }

    async #startPlatform(): Promise<void> {
        const { logSettings, ratingSettings, hasProxiedLinks } = this.#description;
        const services: [PlatformService, Readonly<Record<string, string | number | boolean>>][] = [
            ["log", logSettings ?? {}],
            ["vm-list", {}],
            ["rating", ratingSettings ?? {}],
            ["weight-store", {}],
        ];
        if (hasProxiedLinks === true) {
            services.push(["proxy", {}]);
        }
        for (const [index, [kind, settings]] of services.entries()) {
            const started = await this.#group.startStandin(
                kind,
                this.#formatAddress(lastBytes.platform + index),
                settings,
            );
            this.#platformAddresses.set(kind, started.getAddress());
            this.#platformProcesses.set(kind, started);
        }
    }

    async #startUpstreams(): Promise<void> {
        const { runners, services, failureDomains } = this.#description;
        const starts: Promise<void>[] = [];
        for (let index = 0; index < runners.count; index += 1) {
            const name = `runner-${index + 1}`;
            starts.push(this.#startUpstream({
                name,
                kind: "engine",
                pool: runners.name,
                lastByte: lastBytes.runners + index,
                failureDomain: failureDomains[index % failureDomains.length],
                settings: createRunnerSettings(this.#description, name),
            }));
        }
        for (let index = 0; index < services.count; index += 1) {
            const name = `service-${index + 1}`;
            starts.push(this.#startUpstream({
                name,
                kind: "service",
                pool: services.name,
                lastByte: lastBytes.services + index,
                failureDomain: failureDomains[index % failureDomains.length],
                settings: { name, ...services.settings },
            }));
        }
        await Promise.all(starts);
    }

    async #startUpstream(options: UpstreamOptions): Promise<void> {
        const started = await this.#group.startStandin(
            options.kind,
            this.#formatAddress(options.lastByte),
            options.settings,
        );
        this.#upstreams.set(options.name, started);
        const vm: Vm = {
            id: options.name,
            address: `${this.#description.prefix}.${options.lastByte}`,
            port: this.#port + Number(options.settings["tls.portOffset"] ?? 0),
            role: options.kind === "engine" ? "runner" : "service",
            pool: options.pool,
            failureDomain: options.failureDomain,
            region: this.#description.name,
            state: "live",
        };
        await this.#vmLists.add(vm);
    }

    async #addEntryVm(name: string, index: number): Promise<void> {
        const { failureDomains, prefix, hasProxiedLinks } = this.#description;
        const vm: Vm = {
            id: name,
            address: `${prefix}.${lastBytes.entries + index}`,
            port: this.#port,
            role: "entry",
            pool: "",
            failureDomain: failureDomains[index % failureDomains.length],
            region: this.#description.name,
            state: "live",
            peerPort: this.#port + peerPortOffset,
        };
        if (hasProxiedLinks === true) {
            const list = await this.#group.startStandin("vm-list", `${vm.address}:${this.#port + vmListPortOffset}`);
            await this.#vmLists.addEntryList(name, list.getAddress());
        }
        await this.#vmLists.add(vm);
    }

    async #writeSettings(vm: Vm): Promise<string> {
        const getRoutedAddress = async (service: "log" | "rating"): Promise<string> => {
            const target = this.getPlatformAddress(service);
            return this.#description.hasProxiedLinks === true ? this.#links.add(vm.id, service, target) : target;
        };
        return writeEntrySettings({
            name: vm.id,
            failureDomain: vm.failureDomain,
            region: vm.region,
            callers: `${vm.address}:${vm.port}`,
            peers: `${vm.address}:${vm.peerPort}`,
            operators: `${vm.address}:${vm.port + operatorPortOffset}`,
            log: await getRoutedAddress("log"),
            vmList: this.#vmLists.getListAddress(vm.id),
            rating: await getRoutedAddress("rating"),
            weightStore: this.getPlatformAddress("weight-store"),
        }, { ...this.#description.entrySettings, ...this.#description.perEntrySettings?.[vm.id] });
    }

    #formatAddress(lastByte: number): string {
        return `${this.#description.prefix}.${lastByte}:${this.#port}`;
    }
}

interface UpstreamOptions {
    readonly name: string;
    readonly kind: "engine" | "service";
    readonly pool: string;
    readonly lastByte: number;
    readonly failureDomain: string;
    readonly settings: Readonly<Record<string, string | number | boolean>>;
}
