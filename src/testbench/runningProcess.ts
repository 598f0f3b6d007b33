/**
 * A process of the site that a test or the demo started: its ready line, its events and its end.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import type { EventLine } from "../events/index.js";
import { endWithParent } from "./endWithParent.js";

const readyTimeoutMilliseconds = 20_000;
const stopTimeoutMilliseconds = 30_000;
const maxRetainedLines = 5000;

/** What a process is started from. */
export interface ProcessOptions {
    /** Path of the compiled program. */
    readonly program: string;
    readonly args?: readonly string[];
    readonly env?: Readonly<Record<string, string>>;
}

/** A started process. */
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
     * @param options - What to start.
     */
    static async start(options: ProcessOptions): Promise<RunningProcess> {
        const running = new RunningProcess(options);
        endWithParent(running.#child);
        await running.#waitForReady();
        return running;
    }

    /** Returns the address of the ready line. */
    getAddress(): string {
        return this.#address;
    }

    /** Returns the process identifier. */
    getId(): number {
        return this.#child.pid ?? 0;
    }

    /** Returns the events that the process wrote. */
    getEvents(): readonly EventLine[] {
        return this.#events;
    }

    /** Returns what the process wrote, the last lines of it. */
    getOutput(): string {
        return this.#lines.join("\n");
    }

    /** Returns whether the process has ended. */
    hasExited(): boolean {
        return this.#hasExited;
    }

    /** Returns the exit code; undefined while it runs and after a signal. */
    getExitCode(): number | undefined {
        return this.#exitCode;
    }

    /**
     * Asks the process to stop and waits for its end.
     * @returns The exit code; undefined when a signal ended it.
     */
    async stop(): Promise<number | undefined> {
        this.signal("SIGTERM");
        const killTimer = setTimeout(() => this.#child.kill("SIGKILL"), stopTimeoutMilliseconds);
        const code = await this.#exited;
        clearTimeout(killTimer);
        return code;
    }

    /** Sends a signal and doesn't wait for what comes of it. */
    signal(name: NodeJS.Signals): void {
        this.#child.kill(name);
    }

    /** Ends the process at once and waits until it is gone. */
    async kill(): Promise<void> {
        this.#child.kill("SIGKILL");
        await this.#exited;
    }

    /** Pauses the process as a stalled VM does. */
    freeze(): void {
        this.#child.kill("SIGSTOP");
    }

    /** Lets a paused process go on. */
    wake(): void {
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
            throw new Error(`${this.#name} did not become ready. It wrote:\n${this.getOutput()}`);
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
