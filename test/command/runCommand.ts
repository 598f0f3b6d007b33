/**
 * Runs the operators' program as a process.
 */
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(new URL("../../src/command/main.js", import.meta.url));

/** What a run of the program gave. */
export interface CommandRun {
    readonly code: number | undefined;
    readonly stdout: string;
    readonly stderr: string;
}

/**
 * Runs the program to its end, in a working directory that is not the project's.
 * @param args - Its arguments.
 */
export function runCommand(...args: readonly string[]): Promise<CommandRun> {
    return new Promise((resolve, reject) => {
        const child = spawn(process.execPath, [program, ...args], {
            cwd: "/",
            env: { ...process.env, COLUMNS: "200" },
        });
        let stdout = "";
        let stderr = "";
        child.stdout.on("data", chunk => {
            stdout += chunk;
        });
        child.stderr.on("data", chunk => {
            stderr += chunk;
        });
        child.once("error", reject);
        child.once("close", code => resolve({ code: code ?? undefined, stdout, stderr }));
    });
}
