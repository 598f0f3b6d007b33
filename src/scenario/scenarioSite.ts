/**
 * The site that a scenario controls: named processes and the links between them.
 */
import type { Change } from "../configuration/index.js";
import type { RunningProcess } from "../testbench/index.js";

/** The sender of a scenario's requests, as the source of a link. */
export const callerName = "caller";

/** A state of a VM in the VM list. */
export type VmListState = "live" | "leaving" | "gone";

/** The operations of a site that scenarios use. */
export interface ScenarioSite {
    /** Starts a process of the given kind and name. */
    start(kind: string, name: string, settings: Readonly<Record<string, string>>): Promise<void>;
    /** Restarts an exited process with the same name, address and settings. */
    restart(name: string): Promise<void>;
    /** Returns the process with the given name. Throws when there is none. */
    getProcess(name: string): RunningProcess;
    /** Returns the `HOST:PORT` at which the scenario's requests reach a process. */
    getAddress(name: string): string;
    /** Returns the `HOST:PORT` of a process's test controls. */
    getControlAddress(name: string): string;
    /** Returns the API key of a workspace. */
    getApiKey(workspace: string): string;
    /** Returns the status that a process reports. */
    getStatus(name: string): Promise<Readonly<Record<string, unknown>>>;
    /** Sets the faults of the directed link between two processes, or from the caller to a process. */
    setLinkFaults(from: string, to: string, faults: object): Promise<void>;
    /** Sets the state of a VM in the VM list. */
    setVmState(name: string, state: VmListState): Promise<void>;
    /** Publishes configuration changes and returns the offset of their record. */
    publish(changes: readonly Change[]): Promise<number>;
    /** Waits until every running entry has applied the configuration up to the given offset. */
    waitUntilApplied(offset: number): Promise<void>;
}
