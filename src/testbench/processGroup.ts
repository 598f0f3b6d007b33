/**
 * The processes of one test or demo, which end together.
 */
import { fileURLToPath } from "node:url";
import { type ProcessOptions, RunningProcess } from "./runningProcess.js";

const standinProgram = fileURLToPath(new URL("../standins/main.js", import.meta.url));

/** Settings of a stand-in as `key=value` arguments. */
export type StandinSettings = Readonly<Record<string, string | number | boolean>>;

/** Starts processes and ends them all. */
export class ProcessGroup {
    readonly #processes: RunningProcess[] = [];

    /** Starts a process and waits until it is ready. */
    async start(options: ProcessOptions): Promise<RunningProcess> {
        const started = await RunningProcess.start(options);
        this.#processes.push(started);
        return started;
    }

    /**
     * Starts a stand-in.
     * @param kind - Its kind, such as `log`.
     * @param listen - `HOST:PORT`; port 0 takes any free one.
     * @param settings - Its conditions at the start.
     */
    startStandin(kind: string, listen: string, settings: StandinSettings = {}): Promise<RunningProcess> {
        const pairs = Object.entries(settings).map(([key, value]) => `${key}=${value}`);
        return this.start({ program: standinProgram, args: [kind, "--listen", listen, ...pairs] });
    }

    /** Returns all processes that were started. */
    getAll(): readonly RunningProcess[] {
        return this.#processes;
    }

    /** Ends all processes that still run, at once. */
    async killAll(): Promise<void> {
        await Promise.all(this.#processes.map(member => member.kill()));
    }
}

/**
 * Runs a piece of work with a group of processes that end with it, also when it fails.
 * @param work - The work.
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
