#!/usr/bin/env node
/**
 * Command-line program `rattanlock-entry`.
 */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { formatValidationError, parseEntrySettings, type ValidationError } from "../settings/index.js";
import { Entry } from "./entry.js";

const exitCodes = { badInput: 2, failed: 1 } as const;

async function main(): Promise<void> {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    if (values.settings === undefined) {
        console.error("Usage: rattanlock-entry --settings FILE");
        process.exit(exitCodes.badInput);
    }
    const parsed = parseEntrySettings(readFileSync(values.settings, "utf8"), values.settings);
    if (parsed.isErr()) {
        printErrors(parsed.error);
        process.exit(exitCodes.badInput);
    }
    const settings = parsed.value;
    const entry = await Entry.create(settings);
    await entry.start();
    console.log(`ready entry ${settings.listen.callers.host}:${settings.listen.callers.port}`);
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        // A second signal waits for the shutdown in progress, like the first one.
        process.on(signal, () => void entry.stop().then(() => process.exit(0)));
    }
}

function printErrors(errors: readonly ValidationError[]): void {
    for (const error of errors) {
        console.error(formatValidationError(error));
    }
}

try {
    await main();
}
catch (error) {
    console.error(error instanceof Error ? error.message : error);
    process.exit(exitCodes.failed);
}
