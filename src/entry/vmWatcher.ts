/**
 * Polls the VM list.
 */
import { RepeatedTask } from "../common/index.js";
import type { VmListClient } from "../upstream/index.js";
import type { Vm } from "../world/index.js";

const noVms: readonly Vm[] = [];

/** Options of a watcher. */
export interface VmWatcherOptions {
    readonly client: VmListClient;
    readonly intervalMilliseconds: number;
    /** Called with each list that differs from the previous one. */
    readonly onList: (vms: readonly Vm[]) => void;
}

/** Reads the VM list periodically, and stores the latest one. */
export class VmWatcher {
    readonly #options: VmWatcherOptions;
    readonly #task: RepeatedTask;
    #vms: ReadonlyMap<string, Vm> = new Map();
    #lastList = noVms;

    constructor(options: VmWatcherOptions) {
        this.#options = options;
        this.#task = new RepeatedTask({
            run: () => this.#read(),
            pauseMilliseconds: options.intervalMilliseconds,
        });
    }

    /** Starts to poll the list. */
    start(): void {
        this.#task.start();
    }

    /** Stops polling. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Returns a VM of the latest list.
     * @param id - Identifier of the VM.
     */
    getVm(id: string): Vm | undefined {
        return this.#vms.get(id);
    }

    /** Returns all VMs of the latest list. */
    getVms(): Iterable<Vm> {
        return this.#vms.values();
    }

    /**
     * Reads the list. Retains the last list while the platform does not respond: an outage of the list must not empty
     * the site.
     */
    async #read(): Promise<void> {
        const result = await this.#options.client.getVms();
        if (result.isErr() || result.value === this.#lastList) {
            return;
        }
        this.#lastList = result.value;
        this.#vms = new Map(result.value.map(vm => [vm.id, vm]));
        this.#options.onList(result.value);
    }
}
