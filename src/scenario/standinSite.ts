/**
 * A site that consists of stand-ins only. The caller reaches each process through a route of the fault-injecting proxy.
 */
import { type Change, createPublishRecord } from "../configuration/index.js";
import { AddressBlock, callJson, type ProcessGroup, type RunningProcess, setFaults } from "../testbench/index.js";
import { callerName, type ScenarioSite } from "./scenarioSite.js";

interface StartedStandin {
    readonly kind: string;
    readonly listen: string;
    readonly settings: Readonly<Record<string, string>>;
    readonly process: RunningProcess;
    /** Address of the caller's route to the stand-in. */
    readonly routeAddress: string;
}

/** Starts the stand-ins that a scenario names. Configuration is published to the stand-in named `log`. */
export class StandinSite implements ScenarioSite {
    readonly #group: ProcessGroup;
    readonly #addresses: AddressBlock;
    readonly #standins = new Map<string, StartedStandin>();
    #proxy: RunningProcess | undefined;

    /**
     * @param group - The group that the processes are added to.
     * @param addresses - The addresses that the processes listen on.
     */
    constructor(group: ProcessGroup, addresses: AddressBlock) {
        this.#group = group;
        this.#addresses = addresses;
    }

    async start(kind: string, name: string, settings: Readonly<Record<string, string>>): Promise<void> {
        const listen = this.#addresses.next();
        const started = await this.#group.startStandin(kind, listen, settings);
        const routeAddress = await this.#addRoute(name, listen);
        this.#standins.set(name, { kind, listen, settings, process: started, routeAddress });
    }

    async restart(name: string): Promise<void> {
        const standin = this.#getStandin(name);
        if (!standin.process.hasExited()) {
            throw new Error(`${name} is still running. Stop or kill it first.`);
        }
        const started = await this.#group.startStandin(standin.kind, standin.listen, standin.settings);
        this.#standins.set(name, { ...standin, process: started });
    }

    getProcess(name: string): RunningProcess {
        return this.#getStandin(name).process;
    }

    getAddress(name: string): string {
        return this.#getStandin(name).routeAddress;
    }

    getControlAddress(name: string): string {
        return this.#getStandin(name).listen;
    }

    getApiKey(workspace: string): string {
        return `key-of-${workspace}`;
    }

    getStatus(name: string): Promise<Readonly<Record<string, unknown>>> {
        return callJson({ address: this.getControlAddress(name), path: "/faults" });
    }

    async setLinkFaults(from: string, to: string, faults: object): Promise<void> {
        this.#getStandin(to);
        if (from !== callerName) {
            throw new Error(`Only the caller has links in this site. Write ${callerName}>${to}.`);
        }
        await setFaults(this.#proxy?.getAddress() ?? "", { route: to, ...faults });
    }

    /** Rejects, since this site has no VM list. */
    setVmState(name: string): Promise<void> {
        return Promise.reject(new Error(`${name} is not on a VM list in this site. Use a site with entries.`));
    }

    async publish(changes: readonly Change[]): Promise<number> {
        const address = this.getControlAddress("log");
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

    /** Resolves at once, since stand-ins do not apply configuration. */
    async waitUntilApplied(): Promise<void> {}

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

    #getStandin(name: string): StartedStandin {
        const standin = this.#standins.get(name);
        if (standin === undefined) {
            const names = [...this.#standins.keys()].join(", ");
            throw new Error(`There is no process "${name}"; started processes: ${names}.`);
        }
        return standin;
    }
}
