/**
 * Runs the `rattanlock` program as a process.
 */
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(new URL("../../src/command/main.js", import.meta.url));

/** Represents the result of a run of the program. */
export interface CommandRun {
    readonly code: number | undefined;
    readonly stdout: string;
    readonly stderr: string;
}

/**
 * Runs the program until it exits, in a working directory outside the project.
 * @param args - The arguments of the program.
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
