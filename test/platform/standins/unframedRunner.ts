/**
 * Starts and kills runners in processes of their own, whose answers have neither a length nor chunks.
 */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";

/** Events of each stream, and the size of their data. */
export const unframedEvents = 30;
export const unframedEventBytes = 10;
/** The body of each confirmation, in the pieces in which it is written. */
export const unframedBodyPieces: readonly string[] = Array.from(
    { length: unframedEvents },
    (_, index) => `line ${index}\n`,
);

const program = new URL("unframedRunnerMain.js", import.meta.url).pathname;

/** A runner's process, and connections to it that nothing is sent on. */
export class UnframedRunner {
    readonly #host: string;
    readonly #port: number;
    readonly #idleConnections: number;
    readonly #sockets: Socket[] = [];
    #child: ChildProcess | undefined;

    /**
     * @param host - The address to listen at.
     * @param port - The port.
     * @param idleConnections - Connections that others keep open. The kernel closes them one after the other when the process is killed.
     */
    constructor(host: string, port: number, idleConnections: number) {
        this.#host = host;
        this.#port = port;
        this.#idleConnections = idleConnections;
    }

    /** Starts the process. */
    async start(): Promise<void> {
        this.#child = fork(program, [this.#host, String(this.#port)], { stdio: ["ignore", "pipe", "inherit", "ipc"] });
        await once(this.#child.stdout!, "data");
        for (let index = 0; index < this.#idleConnections; index += 1) {
            const socket = connect(this.#port, this.#host);
            socket.on("error", () => {
                // The process was killed.
            });
            this.#sockets.push(socket);
            await once(socket, "connect");
        }
    }

    /** Kills the process. */
    async kill(): Promise<void> {
        const child = this.#child;
        if (child !== undefined) {
            const exited = once(child, "exit");
            child.kill("SIGKILL");
            await exited;
        }
        this.#child = undefined;
        for (const socket of this.#sockets.splice(0)) {
            socket.destroy();
        }
    }
}
