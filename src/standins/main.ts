/**
 * The program that runs one stand-in.
 */
import { Failure, systemClock } from "../common/index.js";
import { events, Journal } from "../events/index.js";
import { formatAddress } from "./address.js";
import { readCommand } from "./settings.js";
import { createStandin, type Standin } from "./standin.js";

async function main(): Promise<void> {
    const { kind, listen, settings } = readCommand(process.argv.slice(2));
    const standin = createStandin(kind, listen, settings);
    const address = formatAddress(await standin.start());
    const journal = new Journal({ process: `${kind} ${address}`, clock: systemClock });
    let stopping: Promise<void> | undefined;
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        // A second signal does not start another shutdown. Without a listener it would end the process and cut off answers.
        process.on(signal, () => void (stopping ??= stop(standin, journal)));
    }
    journal.write(events.processStarted, { address });
    console.log(`ready ${kind} ${address}`);
}

async function stop(standin: Standin, journal: Journal): Promise<void> {
    journal.write(events.processStopping);
    await standin.stop();
    journal.write(events.processStopped);
    process.exit(0);
}

try {
    await main();
}
catch (error) {
    console.error(error instanceof Failure ? error.message : error);
    process.exit(1);
}
