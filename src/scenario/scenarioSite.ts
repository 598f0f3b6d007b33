/**
 * The site that a scenario drives: real processes with names and links between them.
 */
import type { Change } from "../configuration/index.js";
import type { RunningProcess } from "../testbench/index.js";

/** Who sends a scenario's requests, as the name of a link's beginning. */
export const callerName = "caller";

/** What a VM list can be made to say of a VM. */
export type VmListState = "live" | "leaving" | "gone";

/** What a scenario needs of a site. */
export interface ScenarioSite {
    /** Starts a process of a kind under a name. */
    start(kind: string, name: string, settings: Readonly<Record<string, string>>): Promise<void>;
    /** Starts a process again that ended; it keeps its name, address and settings. */
    restart(name: string): Promise<void>;
    /** Returns the process of a name; throws when there is none. */
    getProcess(name: string): RunningProcess;
    /** Returns where the scenario's requests reach a process, as `HOST:PORT`. */
    getAddress(name: string): string;
    /** Returns where the test controls of a process listen, as `HOST:PORT`. */
    getControlAddress(name: string): string;
    /** Returns the API key of a workspace. */
    getApiKey(workspace: string): string;
    /** Returns what a process tells of itself. */
    getStatus(name: string): Promise<Readonly<Record<string, unknown>>>;
    /** Switches faults of the directed link between two processes, or from the caller to one. */
    setLinkFaults(from: string, to: string, faults: object): Promise<void>;
    /** Changes what the VM list says of a VM. */
    setVmState(name: string, state: VmListState): Promise<void>;
    /** Publishes changes of the configuration; returns the offset. */
    publish(changes: readonly Change[]): Promise<number>;
    /** Waits until the configuration up to an offset is in force at every running entry. */
    waitUntilApplied(offset: number): Promise<void>;
}
