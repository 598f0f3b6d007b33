/**
 * The program of a node on the platform; `deploy/launch.cjs` runs it.
 */
import { readFileSync } from "node:fs";
import { formatMistake } from "../settings/index.js";
import { PlatformNode } from "./node.js";
import { parseNodeSettings } from "./nodeSettings.js";

const exitCodes = { badInput: 2 } as const;
/** Environment variable with the path of the settings file. */
const settingsVariable = "RATTANLOCK_BOOT";

/** Runs a node until it is told to stop. */
export async function main(): Promise<void> {
    const file = process.env[settingsVariable];
    if (file === undefined) {
        console.error(`Set ${settingsVariable} to the path of the settings file.`);
        process.exit(exitCodes.badInput);
    }
    const parsed = parseNodeSettings(readFileSync(file, "utf8"), file);
    if (parsed.isErr()) {
        for (const mistake of parsed.error) {
            console.error(formatMistake(mistake));
        }
        process.exit(exitCodes.badInput);
    }
    const node = new PlatformNode(parsed.value);
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        // A second signal finds the shutdown under way and waits for it like the first.
        process.on(signal, () => void node.stop().then(() => process.exit(0)));
    }
    process.on("SIGHUP", () => node.reload(readFileSync(file, "utf8"), file));
    await node.start();
}
