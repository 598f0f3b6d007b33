/**
 * A site of stand-ins alone. Each process is reached through a route of the fault-injecting proxy.
 */
import { type Change, createPublishRecord } from "../configuration/index.js";
import { AddressBlock, callJson, type ProcessGroup, type RunningProcess, setFaults } from "../testbench/index.js";
import { callerName, type ScenarioSite } from "./scenarioSite.js";

interface Member {
    readonly kind: string;
    readonly listen: string;
    readonly settings: Readonly<Record<string, string>>;
    readonly process: RunningProcess;
    /** Where the caller reaches it. */
    readonly route: string;
}

/** Starts stand-ins as a scenario names them. Configuration is published on the stand-in named `log`. */
export class StandinSite implements ScenarioSite {
    readonly #group: ProcessGroup;
    readonly #addresses: AddressBlock;
    readonly #members = new Map<string, Member>();
    #proxy: RunningProcess | undefined;

    /**
     * @param group - Takes the processes.
     * @param addresses - Where they listen.
     */
    constructor(group: ProcessGroup, addresses: AddressBlock) {
        this.#group = group;
        this.#addresses = addresses;
    }

    async start(kind: string, name: string, settings: Readonly<Record<string, string>>): Promise<void> {
        const listen = this.#addresses.next();
        const started = await this.#group.startStandin(kind, listen, settings);
        const route = await this.#addRoute(name, listen);
        this.#members.set(name, { kind, listen, settings, process: started, route });
    }

    async startAgain(name: string): Promise<void> {
        const member = this.#getMember(name);
        if (!member.process.hasExited()) {
            throw new Error(`${name} still runs. Stop or kill it first.`);
        }
        const started = await this.#group.startStandin(member.kind, member.listen, member.settings);
        this.#members.set(name, { ...member, process: started });
    }

    getProcess(name: string): RunningProcess {
        return this.#getMember(name).process;
    }

    getAddress(name: string): string {
        return this.#getMember(name).route;
    }

    getControl(name: string): string {
        return this.#getMember(name).listen;
    }

    getApiKey(workspace: string): string {
        return `key-of-${workspace}`;
    }

    getStatus(name: string): Promise<Readonly<Record<string, unknown>>> {
        return callJson({ address: this.getControl(name), path: "/faults" });
    }

    async setLink(from: string, to: string, faults: object): Promise<void> {
        this.#getMember(to);
        if (from !== callerName) {
            throw new Error(`Here only the caller has links. Write ${callerName}>${to}.`);
        }
        await setFaults(this.#proxy?.getAddress() ?? "", { route: to, ...faults });
    }

    /** Refuses: stand-ins alone are on no VM list. */
    setVmState(name: string): Promise<void> {
        return Promise.reject(new Error(`${name} is on no VM list here. Use a site with entries.`));
    }

    async publish(changes: readonly Change[]): Promise<number> {
        const address = this.getControl("log");
        const { next } = await callJson<{ readonly next: number; }>({ address, path: "/streams/config?from=latest" });
        const body = createPublishRecord({ author: "scenario", reason: "test", basedOn: next, changes }, "scenario");
        const { offset } = await callJson<{ readonly offset: number; }>({
            address,
            path: "/streams/config",
            method: "POST",
            body,
        });
        return offset;
    }

    /** Returns at once: stand-ins follow no configuration. */
    async waitInForce(): Promise<void> {}

    async #addRoute(name: string, target: string): Promise<string> {
        this.#proxy ??= await this.#group.startStandin("proxy", this.#addresses.next());
        const { listen } = await callJson<{ readonly listen: string; }>({
            address: this.#proxy.getAddress(),
            path: `/routes/${encodeURIComponent(name)}`,
            method: "PUT",
            body: { listen: this.#addresses.next(), target },
        });
        return listen;
    }

    #getMember(name: string): Member {
        const member = this.#members.get(name);
        if (member === undefined) {
            const names = [...this.#members.keys()].join(", ");
            throw new Error(`There is no process "${name}"; started are: ${names}.`);
        }
        return member;
    }
}
