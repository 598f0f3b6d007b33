/**
 * Checks every promise after a soak, from the records of callers, upstreams, the log and the entries' status.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Bill, billsKind } from "../bills/index.js";
import {
    type EngineRun,
    findBillingViolations,
    findConflictingBills,
    findRunViolations,
    type KeyedCall,
    readEngineRuns,
    readServiceRuns,
    type Site,
    type TrafficChat,
} from "../testbench/index.js";
import type { WithdrawalPeriod } from "./faultInjector.js";

/** Bills may take so long to come in after everything was mended. */
const checkTimeoutMilliseconds = 20_000;
const checkIntervalMilliseconds = 200;
/** What was sent before a withdrawal may reach an engine this much later, through links that were slow or frozen. */
const inFlightMilliseconds = 4500;

/** What callers and the injector know. */
export interface SoakRecords {
    readonly chats: readonly TrafficChat[];
    readonly prints: readonly KeyedCall[];
    readonly withdrawals: readonly WithdrawalPeriod[];
}

/**
 * Judges a site whose faults are all mended.
 * @param site - The site.
 * @param records - What happened.
 * @returns What breaks a promise.
 */
export async function checkSoak(site: Site, records: SoakRecords): Promise<readonly string[]> {
    const runs = await readEngineRuns(site);
    const serviceRuns = await readServiceRuns(site);
    return [
        ...findRunViolations(serviceRuns, records.prints),
        ...await checkBills(site, records),
        ...findConflictingBills(await readAllBills(site)),
        ...findSessionViolations(records.chats),
        ...findWithdrawnRuns(runs, records.withdrawals),
        ...await findConfigurationViolations(site),
    ];
}

/** Bills go to the log in batches and are taken over by keepers, so faults count only once they last. */
async function checkBills(site: Site, records: SoakRecords): Promise<readonly string[]> {
    const deadline = performance.now() + checkTimeoutMilliseconds;
    for (;;) {
        const violations = findBillingViolations({
            bills: await site.readBills(),
            engineRuns: await readEngineRuns(site),
            serviceRuns: await readServiceRuns(site),
            chats: records.chats.map(({ record }) => record),
            calls: records.prints.map(({ record }) => record),
        });
        if (violations.length === 0 || performance.now() > deadline) {
            return violations;
        }
        await sleep(checkIntervalMilliseconds);
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
function findSessionViolations(chats: readonly TrafficChat[]): readonly string[] {
    const versions = new Map<string, string>();
    const violations: string[] = [];
    for (const { record, session } of chats) {
        const version = / by (\S+):/.exec(record.text)?.[1];
        if (session === undefined || version === undefined) {
            continue;
        }
        const firstVersion = versions.get(session) ?? version;
        versions.set(session, firstVersion);
        if (firstVersion !== version) {
            violations.push(
                `The session ${session} went from ${firstVersion} to ${version} in request ${record.requestId}.`,
            );
        }
    }
    return violations;
}

function findWithdrawnRuns(runs: readonly EngineRun[], periods: readonly WithdrawalPeriod[]): readonly string[] {
    const violations: string[] = [];
    for (const { version, from, to } of periods) {
        for (const run of runs) {
            if (run.ran === version && run.arrivedAt > from + inFlightMilliseconds && run.arrivedAt < to) {
                violations.push(
                    `${version} got the new work ${run.id} ${
                        run.arrivedAt - from
                    } ms after it was withdrawn everywhere.`,
                );
            }
        }
    }
    return violations;
}

async function findConfigurationViolations(site: Site): Promise<readonly string[]> {
    const deadline = performance.now() + checkTimeoutMilliseconds;
    for (;;) {
        const configurations = new Set<string>();
        for (const { name } of site.getEntries()) {
            const { configurationOffset, versions } = await site.getStatus(name);
            configurations.add(JSON.stringify([configurationOffset, versions.map(({ id, status }) => [id, status])]));
        }
        if (configurations.size === 1) {
            return [];
        }
        if (performance.now() > deadline) {
            return [`The entries end with unlike configurations: ${[...configurations].join(" and ")}.`];
        }
        await sleep(checkIntervalMilliseconds);
    }
}
