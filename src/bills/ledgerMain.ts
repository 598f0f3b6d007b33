#!/usr/bin/env node
/**
 * The program `rattanlock-ledger`.
 */
import { parseArgs } from "node:util";
import { systemClock } from "../common/index.js";
import { events, Journal } from "../events/index.js";
import { LogClient, LogFollower } from "../log/index.js";
import { LedgerProgram, type LedgerReport } from "./ledgerProgram.js";

const exitCodes = { badInput: 2, failed: 1 } as const;
const usage = "Usage: rattanlock-ledger --log URL [--out FILE] [--listen IP:PORT] [--json]";

async function main(): Promise<void> {
    const { values } = parseArgs({
        options: {
            log: { type: "string" },
            out: { type: "string" },
            listen: { type: "string" },
            json: { type: "boolean", default: false },
        },
    });
    const listen = parseListen(values.listen);
    if (values.log === undefined || (values.out === undefined && values.listen === undefined)) {
        console.error(`${usage}\nSpecify the log's URL and at least one of --out and --listen.`);
        process.exit(exitCodes.badInput);
    }
    if (values.listen !== undefined && listen === undefined) {
        console.error(`${usage}\n--listen takes an IP number and a port, such as 127.0.0.1:8400.`);
        process.exit(exitCodes.badInput);
    }
    const clock = systemClock;
    const journal = new Journal({ process: "ledger", clock });
    const client = new LogClient({ url: values.log, clock });
    const ledger = new LedgerProgram({
        follow: options => new LogFollower({ ...options, client, clock, journal }),
        journal,
        out: values.out,
        listen,
    });
    await ledger.start();
    journal.write(events.processStarted);
    console.log(`ready ledger ${values.listen ?? values.out}`);
    let stopping: Promise<void> | undefined;
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        // Without this listener, a second signal would end the process at once while it writes its file.
        process.on(signal, () => void (stopping ??= stop(ledger, journal, values.json)));
    }
}

async function stop(ledger: LedgerProgram, journal: Journal, json: boolean): Promise<void> {
    journal.write(events.processStopping);
    await ledger.stop();
    const report = ledger.getReport();
    console.log(json ? JSON.stringify(report) : formatReport(report));
    journal.write(events.processStopped);
    process.exit(0);
}

function parseListen(text: string | undefined): { host: string; port: number; } | undefined {
    const matched = /^(.+):(\d+)$/.exec(text ?? "");
    return matched ? { host: matched[1], port: Number(matched[2]) } : undefined;
}

function formatReport(report: LedgerReport): string {
    const lines = report.workspaces.map(total =>
        `${total.workspace}: ${total.requests} requests, ${total.inputTokens} input and ${total.outputTokens} output `
        + `tokens, ${total.total.toFixed(6)} in all`
    );
    const warning = report.gaps > 0 ? ["INCOMPLETE: bills expired from the log before they were read"] : [];
    return [...lines, ...warning, `${report.requests} requests, ${report.repeats} repeats removed`].join("\n");
}

try {
    await main();
}
catch (error) {
    console.error(error instanceof Error ? error.message : error);
    process.exit(exitCodes.failed);
}
