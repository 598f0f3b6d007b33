/**
 * Manages the processes of one test or demo, which end together.
 */
import { fileURLToPath } from "node:url";
import { type ProcessOptions, RunningProcess } from "./runningProcess.js";

const standinProgram = fileURLToPath(new URL("../standins/main.js", import.meta.url));

/** Settings of a stand-in, passed as `key=value` arguments. */
export type StandinSettings = Readonly<Record<string, string | number | boolean>>;

/** Represents a group of processes that are ended together. */
export class ProcessGroup {
    readonly #processes: RunningProcess[] = [];

    /** Starts a process and waits until it is ready. */
    async start(options: ProcessOptions): Promise<RunningProcess> {
        const started = await RunningProcess.start(options);
        this.#processes.push(started);
        return started;
    }

    /**
     * Starts a stand-in and waits until it is ready.
     * @param kind - The kind of stand-in, such as `log`.
     * @param listen - Listen address as `HOST:PORT`; port 0 selects a free port.
     * @param settings - The stand-in's initial settings.
     */
    startStandin(kind: string, listen: string, settings: StandinSettings = {}): Promise<RunningProcess> {
        const pairs = Object.entries(settings).map(([key, value]) => `${key}=${value}`);
        return this.start({ program: standinProgram, args: [kind, "--listen", listen, ...pairs] });
    }

    /** Returns all processes that were started, including those that have exited. */
    getProcesses(): readonly RunningProcess[] {
        return this.#processes;
    }

    /** Kills all processes that still run and waits until they have exited. */
    async killAll(): Promise<void> {
        await Promise.all(this.#processes.map(member => member.kill()));
    }
}

/**
 * Runs a function with a process group and kills the group's processes when the function ends or fails.
 * @param work - The function.
 */
export async function withProcesses(work: (group: ProcessGroup) => Promise<void>): Promise<void> {
    const group = new ProcessGroup();
    try {
        await work(group);
    }
    finally {
        await group.killAll();
    }
}
