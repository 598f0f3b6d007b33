/**
 * Follows the VM list.
 */
import { RepeatedTask } from "../common/index.js";
import type { VmListClient } from "../upstream/index.js";
import type { Vm } from "../world/index.js";

const noVms: readonly Vm[] = [];

/** Options of a watcher. */
export interface VmWatcherOptions {
    readonly client: VmListClient;
    readonly intervalMilliseconds: number;
    /** Takes each list that differs from the one before. */
    readonly onList: (vms: readonly Vm[]) => void;
}

/** Reads the VM list again and again, and remembers the newest answer. */
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

    /** Starts to follow the list. */
    start(): void {
        this.#task.start();
    }

    /** Stops following it. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Returns a VM of the newest list.
     * @param id - Identifier of the VM.
     */
    getVm(id: string): Vm | undefined {
        return this.#vms.get(id);
    }

    /** Returns all VMs of the newest list. */
    getVms(): Iterable<Vm> {
        return this.#vms.values();
    }

    /** Keeps the last list while the platform does not answer: an outage of the list must not empty the site. */
    async #read(): Promise<void> {
        const read = await this.#options.client.getVms();
        if (read.isErr() || read.value === this.#lastList) {
            return;
        }
        this.#lastList = read.value;
        this.#vms = new Map(read.value.map(vm => [vm.id, vm]));
        this.#options.onList(read.value);
    }
}
