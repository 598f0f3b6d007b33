/**
 * A running site: the platform's and the upstreams' stand-ins, and real entries.
 *
 * With links, every directed connection of an entry goes through a route of the fault-injecting proxy that is named
 * `FROM>TO`, such as `entry-1>log` or `entry-1>entry-2`; each entry then reads a VM list of its own, which shows it the
 * others at their routes.
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
/** Last bytes of the addresses of each kind of process. */
const lastBytes = { platform: 1, runners: 20, services: 80, entries: 100, links: 180 } as const;
const peerPortOffset = 1;
const operatorPortOffset = 2;
const ownListPortOffset = 3;
const linkPortOffset = 10;
const firstPort = 10_000;
/** A site uses this many ports at most; sites of test processes that start one after the other stay apart. */
const portsOfSite = 100;
const siteCount = 200;

/** The platform's stand-ins. */
export type PlatformPart = "log" | "vm-list" | "rating" | "weight-store" | "proxy";

/** An entry of a site. */
export interface SiteEntry {
    readonly name: string;
    readonly failureDomain: string;
    readonly callers: string;
    readonly operators: string;
    readonly process: RunningProcess;
}

/** Starts a site and changes it. */
export class Site {
    readonly #group: ProcessGroup;
    readonly #description: SiteDescription;
    readonly #port = firstPort + portsOfSite * (process.pid % siteCount);
    readonly #platform = new Map<PlatformPart, string>();
    readonly #log = new SiteLog(() => this.getPlatform("log"));
    readonly #platformProcesses = new Map<PlatformPart, RunningProcess>();
    readonly #upstreams = new Map<string, RunningProcess>();
    readonly #entries = new Map<string, SiteEntry>();
    readonly #links: SiteLinks;
    readonly #vmLists: VmLists;

    private constructor(group: ProcessGroup, description: SiteDescription) {
        this.#group = group;
        this.#description = description;
        this.#links = new SiteLinks({
            getProxy: () => this.getPlatform("proxy"),
            host: `${description.prefix}.${lastBytes.links}`,
            port: this.#port + linkPortOffset,
        });
        this.#vmLists = new VmLists({ getSiteList: () => this.getPlatform("vm-list"), links: this.#links });
    }

    /**
     * Starts a site and waits until every entry serves.
     * @param group - Takes the processes.
     * @param description - The site.
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

    /** Returns where a part of the platform listens. */
    getPlatform(part: PlatformPart): string {
        const address = this.#platform.get(part);
        if (address === undefined) {
            throw new Error(`The site has no ${part}.`);
        }
        return address;
    }

    /** Returns the process of a part of the platform. */
    getPlatformProcess(part: PlatformPart): RunningProcess {
        const process = this.#platformProcesses.get(part);
        if (process === undefined) {
            throw new Error(`The site has no ${part}.`);
        }
        return process;
    }

    /** Returns the entries that were started, in the order of their names. */
    getEntries(): readonly SiteEntry[] {
        return [...this.#entries.values()];
    }

    /** Returns an entry by its name. */
    getEntryOrThrow(name: string): SiteEntry {
        const entry = this.#entries.get(name);
        if (entry === undefined) {
            throw new Error(`There is no entry ${name}; there are ${[...this.#entries.keys()].join(", ")}.`);
        }
        return entry;
    }

    /** Returns the upstreams by name. */
    getUpstreams(): ReadonlyMap<string, RunningProcess> {
        return this.#upstreams;
    }

    /** Returns an upstream by its name. */
    getUpstreamOrThrow(name: string): RunningProcess {
        const upstream = this.#upstreams.get(name);
        if (upstream === undefined) {
            throw new Error(`There is no upstream ${name}; there are ${[...this.#upstreams.keys()].join(", ")}.`);
        }
        return upstream;
    }

    /**
     * Starts an entry, also one that was killed before. It keeps its name and addresses.
     * @param name - `entry-N`.
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
            callers: `${vm.address}:${vm.port}`,
            operators: `${vm.address}:${vm.port + operatorPortOffset}`,
            process: started,
        };
        this.#entries.set(name, entry);
        return entry;
    }

    /**
     * Replaces an entry by a new VM on the same address, on a site without links.
     * @param name - The entry that goes, at once.
     * @param id - The new VM's identifier.
     */
    async replaceEntry(name: string, id: string): Promise<SiteEntry> {
        if (this.#description.hasLinks === true) {
            throw new Error("The site has links; replace entries on a site without them.");
        }
        const vm = this.#vmLists.getVmOrThrow(name);
        await this.getEntryOrThrow(name).process.kill();
        await this.#vmLists.remove(name);
        this.#entries.delete(name);
        await this.#vmLists.add({ ...vm, id });
        return this.startEntry(id);
    }

    /** Waits until all running entries serve and see each other. */
    async waitUntilReady(): Promise<void> {
        const running = this.getEntries().filter(entry => !entry.process.hasExited());
        for (const entry of running) {
            await waitUntil(async () => {
                const status = await this.getStatus(entry.name);
                const alive = status.members.filter(member => member.state === "alive").length;
                return status.ready && alive >= running.length && status.upstreams.length > 0;
            }, { what: `${entry.name} to serve` });
        }
    }

    /** Returns what an entry tells operators. */
    getStatus(name: string): Promise<EntryStatus> {
        return callJson<EntryStatus>({ address: this.getEntryOrThrow(name).operators, path: "/status" });
    }

    /**
     * Publishes changes of the tree without waiting for their being in force.
     * @param changes - The changes.
     * @param author - Who publishes.
     * @param basedOn - The offset up to which the author had read the stream; its end by default.
     * @returns The record's offset.
     */
    async publish(changes: readonly Change[], author = "operator", basedOn?: number): Promise<number> {
        const known = basedOn ?? await this.#log.getEnd("config");
        const publication = { author, reason: "test", basedOn: known, changes };
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
     * Reads all that a stream holds.
     * @param stream - The stream.
     */
    readStream(stream: StreamName): Promise<readonly LogEntry[]> {
        return this.#log.readStream(stream);
    }

    /** Folds the stream of bills as the ledger does: one bill for each request. */
    readBills(): Promise<ReadonlyMap<string, Bill>> {
        return this.#log.readBills();
    }

    /**
     * Waits until entries have folded the config stream up to an offset.
     * @param offset - The offset of the record.
     * @param names - The entries; all running ones by default.
     */
    async waitInForce(offset: number, names?: readonly string[]): Promise<void> {
        const wanted = names ?? this.getEntries().filter(entry => !entry.process.hasExited()).map(entry => entry.name);
        for (const name of wanted) {
            await waitUntil(async () => (await this.getStatus(name)).configurationOffset > offset, {
                what: `configuration ${offset} in force at ${name}`,
            });
        }
    }

    /**
     * Switches faults of a directed link.
     * @param from - `entry-N`.
     * @param to - `log`, `rating`, an entry or an upstream.
     * @param faults - Faults as the proxy knows them.
     */
    async setLink(from: string, to: string, faults: object): Promise<void> {
        await this.#links.setFaults(from, to, faults);
    }

    /**
     * Changes what the VM lists say of a VM.
     * @param id - The VM.
     * @param state - `live`, `leaving`, or `gone` to take it off the lists.
     */
    async setVmState(id: string, state: "live" | "leaving" | "gone"): Promise<void> {
        await this.#vmLists.setState(id, state);
    }

    async #startPlatform(): Promise<void> {
        const { logSettings, ratingSettings, hasLinks } = this.#description;
        const kinds: [PlatformPart, Readonly<Record<string, string | number | boolean>>][] = [
            ["log", logSettings ?? {}],
            ["vm-list", {}],
            ["rating", ratingSettings ?? {}],
            ["weight-store", {}],
        ];
        if (hasLinks === true) {
            kinds.push(["proxy", {}]);
        }
        for (const [index, [kind, settings]] of kinds.entries()) {
            const started = await this.#group.startStandin(kind, this.#at(lastBytes.platform + index), settings);
            this.#platform.set(kind, started.getAddress());
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

    async #startUpstream(start: UpstreamStart): Promise<void> {
        const started = await this.#group.startStandin(start.kind, this.#at(start.lastByte), start.settings);
        this.#upstreams.set(start.name, started);
        const vm: Vm = {
            id: start.name,
            address: `${this.#description.prefix}.${start.lastByte}`,
            port: this.#port + Number(start.settings["tls.portOffset"] ?? 0),
            role: start.kind === "engine" ? "runner" : "service",
            pool: start.pool,
            failureDomain: start.failureDomain,
            region: this.#description.name,
            state: "live",
        };
        await this.#vmLists.add(vm);
    }

    async #addEntryVm(name: string, index: number): Promise<void> {
        const { failureDomains, prefix, hasLinks } = this.#description;
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
        if (hasLinks === true) {
            const list = await this.#group.startStandin("vm-list", `${vm.address}:${this.#port + ownListPortOffset}`);
            await this.#vmLists.addOwnList(name, list.getAddress());
        }
        await this.#vmLists.add(vm);
    }

    async #writeSettings(vm: Vm): Promise<string> {
        const reach = async (part: "log" | "rating"): Promise<string> => {
            const target = this.getPlatform(part);
            return this.#description.hasLinks === true ? this.#links.add(vm.id, part, target) : target;
        };
        return writeEntrySettings({
            name: vm.id,
            failureDomain: vm.failureDomain,
            region: vm.region,
            callers: `${vm.address}:${vm.port}`,
            peers: `${vm.address}:${vm.peerPort}`,
            operators: `${vm.address}:${vm.port + operatorPortOffset}`,
            log: await reach("log"),
            vmList: this.#vmLists.getListOf(vm.id),
            rating: await reach("rating"),
            weightStore: this.getPlatform("weight-store"),
        }, { ...this.#description.entrySettings, ...this.#description.singleEntrySettings?.[vm.id] });
    }

    #at(lastByte: number): string {
        return `${this.#description.prefix}.${lastByte}:${this.#port}`;
    }
}

interface UpstreamStart {
    readonly name: string;
    readonly kind: "engine" | "service";
    readonly pool: string;
    readonly lastByte: number;
    readonly failureDomain: string;
    readonly settings: Readonly<Record<string, string | number | boolean>>;
}
