#!/usr/bin/env node
/**
 * The program `rattanlock-load`.
 */
import { runLoadCommand, usage } from "./loadCommand.js";
import { runLoad } from "./loadRun.js";

const exitCodes = { badInput: 2, failed: 1 } as const;

try {
    const result = await runLoadCommand(process.argv.slice(2), { run: runLoad, print: line => console.log(line) });
    if (result.isErr()) {
        console.error(`${result.error.message}\n${usage}`);
        process.exitCode = exitCodes.badInput;
    }
}
catch (error) {
    console.error(error instanceof Error ? error.message : error);
    process.exitCode = exitCodes.failed;
}
