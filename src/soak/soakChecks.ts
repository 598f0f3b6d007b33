/**
 * Checks of the invariants after a soak, based on the records of callers, upstreams and the log, and on the entries'
 * status.
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

/** Maximum time for bills to reach the log, and for configurations to converge, after all faults were repaired. */
const checkTimeoutMilliseconds = 20_000;
const checkIntervalMilliseconds = 200;
/** A request that was sent before a withdrawal may reach an engine this much later, over slow or frozen links. */
const maxInFlightMilliseconds = 4500;

/** Records of the callers and the fault injector. */
export interface SoakRecords {
    readonly chats: readonly TrafficChat[];
    readonly prints: readonly KeyedCall[];
    readonly withdrawals: readonly WithdrawalPeriod[];
}

/**
 * Checks the invariants of a site after all faults were repaired.
 * @param site - The site.
 * @param records - The records of the soak.
 * @returns Descriptions of the violated invariants.
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

/**
 * Checks the bills until there are no violations or the timeout expires. Bills reach the log in batches, or later from the
 * entries that hold their replicas, so only violations that persist count.
 */
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

/** Finds sessions whose answers come from more than one version, according to the text of the answers. */
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
                `The session ${session} changed from ${firstVersion} to ${version} in request ${record.requestId}.`,
            );
        }
    }
    return violations;
}

function findWithdrawnRuns(runs: readonly EngineRun[], periods: readonly WithdrawalPeriod[]): readonly string[] {
    const violations: string[] = [];
    for (const { version, from, to } of periods) {
        for (const run of runs) {
            if (run.ran === version && run.arrivedAt > from + maxInFlightMilliseconds && run.arrivedAt < to) {
                violations.push(
                    `${version} received the new request ${run.id} ${
                        run.arrivedAt - from
                    } ms after it was withdrawn on every entry.`,
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
            return [`The entries end with different configurations: ${[...configurations].join(" and ")}.`];
        }
        await sleep(checkIntervalMilliseconds);
    }
}
