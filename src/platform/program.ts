/**
 * The program of a node on the platform; `deploy/launch.cjs` runs it.
 */
import { readFileSync } from "node:fs";
import type { Server } from "node:net";
import { events } from "../events/index.js";
import { formatValidationError } from "../settings/index.js";
import { PlatformNode } from "./node.js";
import { parseNodeSettings } from "./nodeSettings.js";

const exitCodes = { badInput: 2 } as const;
/** Environment variable with the path of the settings file. */
const settingsVariable = "RATTANLOCK_BOOT";

/** What the launcher has prepared. */
export interface LaunchOptions {
    /** Server that was already listening for callers before the program was loaded. */
    readonly callerServer?: Server;
    /** Whether V8 rejected the compiled code, which doubles the time to start. */
    readonly isCompiledCodeRefused?: boolean;
}

/**
 * Runs a node until it receives a stop signal.
 * @param options - What the launcher has prepared.
 */
export async function main(options: LaunchOptions = {}): Promise<void> {
    const file = process.env[settingsVariable];
    if (file === undefined) {
        console.error(`Set ${settingsVariable} to the path of the settings file.`);
        process.exit(exitCodes.badInput);
    }
    const parsed = parseNodeSettings(readFileSync(file, "utf8"), file);
    if (parsed.isErr()) {
        for (const validationError of parsed.error) {
            console.error(formatValidationError(validationError));
        }
        process.exit(exitCodes.badInput);
    }
    const node = new PlatformNode(parsed.value);
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        // On a second signal, `stop` returns the promise of the shutdown that is already in progress.
        process.on(signal, () => void node.stop().then(() => process.exit(0)));
    }
    process.on("SIGHUP", () => node.reload(file));
    if (options.isCompiledCodeRefused === true) {
        node.getParts().journal.write(events.compiledCodeRefused);
    }
    await node.start(options.callerServer);
}

/**
 * Creates every part of a node without starting any, so that the code that does so is compiled and can be cached.
 * @param content - Sample settings, with which no node runs.
 */
export function createParts(content: string): void {
    const node = new PlatformNode(parseNodeSettings(content, "sample")._unsafeUnwrap());
    const parts = node.getParts();
    for (const name of Object.keys(parts) as (keyof typeof parts)[]) {
        void parts[name];
    }
}
