/**
 * The demo: sends requests to a site, publishes a change, rolls out a bad version, withdraws a version and prints a
 * summary.
 */
import { randomUUID } from "node:crypto";
import { rolloutRecordKinds } from "../control/index.js";
import { getJournal, type Site, waitUntil } from "../testbench/index.js";
import type { DemoPlan } from "./demoPlan.js";
import { createSummary, type DemoObservations } from "./summary.js";
import { Workload } from "./workload.js";

const requestsBeforeChange = 120;
const requestsAfterWithdrawal = 60;
const rolloutTimeoutMilliseconds = 60_000;
/** Format version of the records that the demo appends as an operator. */
const recordFormat = 1;

/** Runs the demo against a site. */
export class Demo {
    readonly #site: Site;
    readonly #plan: DemoPlan;
    readonly #print: (line: string) => void;

    constructor(site: Site, plan: DemoPlan, print: (line: string) => void) {
        this.#site = site;
        this.#plan = plan;
        this.#print = print;
    }

    /** Runs the demo and returns its summary. */
    async run(): Promise<readonly string[]> {
        const workload = new Workload(this.#site, this.#plan);
        workload.start();
        this.#print("Callers send chat completions, conversations and service calls that must not run twice ...");
        await waitForRequests(workload, requestsBeforeChange);
        const changeMilliseconds = await this.#publishChange();
        const rolloutMilliseconds = await this.#runRollout(workload);
        const withdrawal = await this.#withdraw();
        await waitForRequests(workload, workload.getChats().length + requestsAfterWithdrawal);
        await workload.stop();
        const observations: DemoObservations = {
            plan: this.#plan,
            chats: workload.getChats(),
            prints: workload.getPrints(),
            runs: await this.#readRunCounts(),
            bills: await this.#waitForBills(workload),
            changeMilliseconds,
            rolloutMilliseconds,
            withdrawnAt: withdrawal.inForceAt,
            withdrawalMilliseconds: withdrawal.milliseconds,
            engineRunStarts: await this.#readEngineRunStarts(),
        };
        return createSummary(observations);
    }

    async #publishChange(): Promise<number> {
        const { section, key, value } = this.#plan.change;
        this.#print(`An operator publishes ${key} = ${value} for ${section} ...`);
        const startedAt = performance.now();
        await this.#site.waitUntilApplied(await this.#site.publish([this.#plan.change]));
        return performance.now() - startedAt;
    }

    async #runRollout(workload: Workload): Promise<number> {
        const { model, candidate, baseline } = this.#plan.rollout;
        this.#print(`A roll-out of ${candidate} in place of ${baseline} starts; the candidate is known to be bad ...`);
        const startedAt = performance.now();
        const rollout = randomUUID();
        await this.#site.append("control", {
            id: randomUUID(),
            kind: rolloutRecordKinds.start,
            format: recordFormat,
            writer: "operator",
            body: { rollout, model, candidate, baseline, stages: [0.2, 0.5, 1], budget: 100, startedBy: "operator" },
        });
        const [first] = this.#site.getEntries();
        await waitUntil(async () => {
            const status = await this.#site.getStatus(first.name);
            return status.halts.some(halt => halt.version === candidate);
        }, { description: `${candidate} to be halted`, timeoutMilliseconds: rolloutTimeoutMilliseconds });
        const candidateAnswers = workload.getChats().filter(({ chat }) => chat.version === candidate).length;
        this.#print(`The candidate was halted after ${candidateAnswers} answers.`);
        return performance.now() - startedAt;
    }

    async #withdraw(): Promise<{ readonly milliseconds: number; readonly inForceAt: number; }> {
        this.#print(`An operator withdraws ${this.#plan.withdrawnVersion} ...`);
        const startedAt = performance.now();
        const offset = await this.#site.publish([
            { section: `version.${this.#plan.withdrawnVersion}`, key: "status", value: "withdrawn" },
        ]);
        await this.#site.waitUntilApplied(offset);
        return { milliseconds: performance.now() - startedAt, inForceAt: Date.now() };
    }

    /** Returns the number of runs of each idempotency key, from the journals of the services. */
    async #readRunCounts(): Promise<ReadonlyMap<string, number>> {
        const runs = new Map<string, number>();
        for (const [name, upstream] of this.#site.getUpstreams()) {
            if (!name.startsWith("service")) {
                continue;
            }
            for (const { key } of await getJournal<{ readonly key?: string; }>(upstream.getAddress())) {
                if (key !== undefined) {
                    runs.set(key, (runs.get(key) ?? 0) + 1);
                }
            }
        }
        return runs;
    }

    /** Returns the version and start time of each engine run, from the journals of the engines. */
    async #readEngineRunStarts(): Promise<readonly { readonly version: string; readonly at: number; }[]> {
        const starts: { version: string; at: number; }[] = [];
        for (const [name, upstream] of this.#site.getUpstreams()) {
            if (!name.startsWith("runner")) {
                continue;
            }
            const records = await getJournal<{ readonly ran?: string; readonly arrivedAt?: number; }>(
                upstream.getAddress(),
            );
            for (const { ran, arrivedAt } of records) {
                if (ran !== undefined && arrivedAt !== undefined) {
                    starts.push({ version: ran, at: arrivedAt });
                }
            }
        }
        return starts;
    }

    /** Waits until the log holds a bill for every answer. Throws when the wait times out, since a bill is then lost. */
    async #waitForBills(workload: Workload) {
        const answered = workload.getChats().filter(({ chat }) => chat.isComplete);
        return waitUntil(async () => {
            const bills = await this.#site.readBills();
            return answered.every(({ chat }) => bills.has(chat.requestId ?? "")) ? bills : undefined;
        }, { description: "a bill for every answer" });
    }
}

async function waitForRequests(workload: Workload, count: number): Promise<void> {
    await waitUntil(() => workload.getChats().length >= count, {
        description: `${count} chat completions`,
        timeoutMilliseconds: rolloutTimeoutMilliseconds,
    });
}
