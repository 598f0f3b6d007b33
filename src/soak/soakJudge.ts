/**
 * Checks every promise after a soak, from the records of callers, upstreams, the log and the entries' status.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Bill, billsKind } from "../bills/index.js";
import {
    type EngineRun,
    findBillingFaults,
    findRunFaults,
    findUnlikeBills,
    type KeyedCall,
    readEngineRuns,
    readServiceRuns,
    type Site,
    type TrafficChat,
} from "../testbench/index.js";
import type { WithdrawnSpan } from "./faultInjector.js";

/** Bills may take so long to come in after everything was mended. */
const settleBoundMilliseconds = 20_000;
const settlePauseMilliseconds = 200;
/** What was sent before a withdrawal may reach an engine this much later, through links that were slow or frozen. */
const inFlightMilliseconds = 4500;

/** What callers and the injector know. */
export interface SoakRecords {
    readonly chats: readonly TrafficChat[];
    readonly prints: readonly KeyedCall[];
    readonly withdrawn: readonly WithdrawnSpan[];
}

/**
 * Judges a site whose faults are all mended.
 * @param site - The site.
 * @param records - What happened.
 * @returns What breaks a promise.
 */
export async function judgeSoak(site: Site, records: SoakRecords): Promise<readonly string[]> {
    const runs = await readEngineRuns(site);
    const serviceRuns = await readServiceRuns(site);
    return [
        ...findRunFaults(serviceRuns, records.prints),
        ...await judgeBills(site, records),
        ...findUnlikeBills(await readAllBills(site)),
        ...findSessionFaults(records.chats),
        ...findWithdrawnRuns(runs, records.withdrawn),
        ...await findConfigurationFaults(site),
    ];
}

/** Bills go to the log in batches and are taken over by keepers, so faults count only once they last. */
async function judgeBills(site: Site, records: SoakRecords): Promise<readonly string[]> {
    const end = performance.now() + settleBoundMilliseconds;
    for (;;) {
        const faults = findBillingFaults({
            bills: await site.readBills(),
            engineRuns: await readEngineRuns(site),
            serviceRuns: await readServiceRuns(site),
            chats: records.chats.map(({ record }) => record),
            calls: records.prints.map(({ record }) => record),
        });
        if (faults.length === 0 || performance.now() > end) {
            return faults;
        }
        await sleep(settlePauseMilliseconds);
    }
}

async function readAllBills(site: Site): Promise<readonly Bill[]> {
    const bills: Bill[] = [];
    for (const { record } of await site.readStream("bills")) {
        if (record.kind === billsKind) {
            bills.push(...(record.body as { readonly bills: readonly Bill[]; }).bills);
        }
    }
    return bills;
}

/** A session's answers must all be of one version, as the answers themselves say. */
function findSessionFaults(chats: readonly TrafficChat[]): readonly string[] {
    const versions = new Map<string, string>();
    const faults: string[] = [];
    for (const { record, session } of chats) {
        const version = / by (\S+):/.exec(record.text)?.[1];
        if (session === undefined || version === undefined) {
            continue;
        }
        const known = versions.get(session) ?? version;
        versions.set(session, known);
        if (known !== version) {
            faults.push(`The session ${session} went from ${known} to ${version} in request ${record.requestId}.`);
        }
    }
    return faults;
}

function findWithdrawnRuns(runs: readonly EngineRun[], spans: readonly WithdrawnSpan[]): readonly string[] {
    const faults: string[] = [];
    for (const { version, from, to } of spans) {
        for (const run of runs) {
            if (run.ran === version && run.arrivedAt > from + inFlightMilliseconds && run.arrivedAt < to) {
                faults.push(
                    `${version} got the new work ${run.id} ${
                        run.arrivedAt - from
                    } ms after it was withdrawn everywhere.`,
                );
            }
        }
    }
    return faults;
}

async function findConfigurationFaults(site: Site): Promise<readonly string[]> {
    const end = performance.now() + settleBoundMilliseconds;
    for (;;) {
        const seen = new Set<string>();
        for (const { name } of site.getEntries()) {
            const { configurationOffset, versions } = await site.getStatus(name);
            seen.add(JSON.stringify([configurationOffset, versions.map(({ id, status }) => [id, status])]));
        }
        if (seen.size === 1) {
            return [];
        }
        if (performance.now() > end) {
            return [`The entries end with unlike configurations: ${[...seen].join(" and ")}.`];
        }
        await sleep(settlePauseMilliseconds);
    }
}
