/**
 * Starts a process of a site for a test or the demo, and tracks its ready line, its events and its exit.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import type { EventLine } from "../events/index.js";
import { endWithParent } from "./endWithParent.js";

const readyTimeoutMilliseconds = 20_000;
const stopTimeoutMilliseconds = 30_000;
const maxRetainedLines = 5000;

/** Options for starting a process. */
export interface ProcessOptions {
    /** Path of the compiled program. */
    readonly program: string;
    readonly args?: readonly string[];
    readonly env?: Readonly<Record<string, string>>;
}

/** Represents a started process. */
export class RunningProcess {
    readonly #child: ChildProcess;
    readonly #name: string;
    readonly #exited: Promise<number | undefined>;
    readonly #events: EventLine[] = [];
    readonly #lines: string[] = [];
    #exitCode: number | undefined;
    #hasExited = false;
    #address = "";

    private constructor(options: ProcessOptions) {
        const args = options.args ?? [];
        this.#name = [options.program, ...args].join(" ");
        this.#child = spawn(process.execPath, [options.program, ...args], {
            env: { ...process.env, DEBUG: "rattanlock:*", DEBUG_COLORS: "no", ...options.env },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#exited = new Promise(resolve => {
            this.#child.once("exit", code => {
                this.#hasExited = true;
                this.#exitCode = code ?? undefined;
                resolve(this.#exitCode);
            });
        });
    }

    /**
     * Starts a process and waits for its line `ready KIND ADDRESS:PORT`.
     * @param options - The program and its arguments.
     * @throws When the process exits or writes no ready line within 20 seconds; the message contains its output.
     */
    static async start(options: ProcessOptions): Promise<RunningProcess> {
        const running = new RunningProcess(options);
        endWithParent(running.#child);
        await running.#waitForReady();
        return running;
    }

    /** Returns the address from the ready line. */
    getAddress(): string {
        return this.#address;
    }

    /** Returns the process identifier, or 0 when the process could not be spawned. */
    getId(): number {
        return this.#child.pid ?? 0;
    }

    /** Returns the events that the process has written. */
    getEvents(): readonly EventLine[] {
        return this.#events;
    }

    /** Returns the last lines of the process's output. */
    getOutput(): string {
        return this.#lines.join("\n");
    }

    /** Returns whether the process has exited. */
    hasExited(): boolean {
        return this.#hasExited;
    }

    /** Returns the exit code; undefined while the process runs, and when a signal ended it. */
    getExitCode(): number | undefined {
        return this.#exitCode;
    }

    /**
     * Stops the process with SIGTERM and waits until it has exited. Sends SIGKILL after 30 seconds.
     * @returns The exit code; undefined when a signal ended the process.
     */
    async stop(): Promise<number | undefined> {
        this.signal("SIGTERM");
        const killTimer = setTimeout(() => this.#child.kill("SIGKILL"), stopTimeoutMilliseconds);
        const code = await this.#exited;
        clearTimeout(killTimer);
        return code;
    }

    /** Sends a signal without waiting for its effect. */
    signal(name: NodeJS.Signals): void {
        this.#child.kill(name);
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    async kill(): Promise<void> {
        this.#child.kill("SIGKILL");
        await this.#exited;
    }

    /** Pauses the process with SIGSTOP, like a stalled VM. */
    pause(): void {
        this.#child.kill("SIGSTOP");
    }

    /** Resumes a paused process with SIGCONT. */
    resume(): void {
        this.#child.kill("SIGCONT");
    }

    async #waitForReady(): Promise<void> {
        const ready = new Promise<boolean>(resolve => {
            this.#readLines(this.#child.stdout, line => {
                const match = /^ready \S+ (\S+)/.exec(line);
                if (match) {
                    this.#address = match[1];
                    resolve(true);
                }
            });
            this.#readLines(this.#child.stderr, line => this.#parseEvent(line));
            void this.#exited.then(() => resolve(false));
            setTimeout(() => resolve(false), readyTimeoutMilliseconds).unref();
        });
        if (!await ready) {
            await this.kill();
            throw new Error(`${this.#name} did not become ready. Output:\n${this.getOutput()}`);
        }
    }

    #readLines(stream: ChildProcess["stdout"], onLine: (line: string) => void): void {
        if (!stream) {
            return;
        }
        createInterface({ input: stream }).on("line", line => {
            this.#lines.push(line);
            if (this.#lines.length > maxRetainedLines) {
                this.#lines.shift();
            }
            onLine(line);
        });
    }

    #parseEvent(line: string): void {
        const match = /rattanlock:\w+ (\{.*\})/.exec(line);
        if (match) {
            this.#events.push(JSON.parse(match[1]) as EventLine);
        }
    }
}
