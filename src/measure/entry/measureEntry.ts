/**
 * Measures the latency that an entry adds and its maximum throughput, with real processes on loopback addresses.
 */
import {
    Caller,
    callJson,
    type ChatRecord,
    getApiKey,
    metroManila,
    ProcessGroup,
    Site,
} from "../../testbench/index.js";
import { fitSlope } from "../capacity/slope.js";
import type { Report, ReportRow } from "../report.js";

const workspace = "banquet";
const version = "label-small@5";
const warmupRequests = 400;
const comparedRequests = 400;
const costRequests = 1200;
const concurrency = 24;
const answerTokens = [8, 64, 256];
const changesDuringGaps = 40;

interface EntryUsage {
    readonly processor: { readonly user: number; readonly system: number; };
    readonly memory: { readonly rss: number; readonly heapUsed: number; };
}

/**
 * Measures one entry in front of fast engines.
 * @param log - Logs a line of progress.
 */
export async function measureEntry(log: (line: string) => void): Promise<Report> {
    const group = new ProcessGroup();
    const caller = new Caller();
    try {
        const site = await Site.start(group, {
            ...metroManila,
            prefix: "127.100.9",
            entryCount: 2,
            entryEnvironment: { DEBUG: "" },
            runners: {
                name: "lm-pool",
                count: 4,
                settings: { stepMilliseconds: 1, tokensPerStep: 4096, maximumRunning: 64 },
            },
        });
        const measurement = new EntryMeasurement(site, caller);
        await measurement.warmUp();
        log("latency ...");
        const latency = await measurement.compareLatency();
        log("cost of requests and tokens ...");
        const cost = await measurement.measureCost();
        log("gap between tokens while configuration changes ...");
        const gaps = await measurement.measureGaps();
        return {
            measurement: "entry",
            seeds: [],
            tables: [
                { title: "Time to the first token, in milliseconds", rows: latency },
                { title: "Processor time and memory of one entry", rows: cost },
                { title: "Gap between tokens at one caller, in milliseconds", rows: gaps },
            ],
        };
    }
    finally {
        await caller.close();
        await group.killAll();
    }
}

class EntryMeasurement {
    readonly #site: Site;
    readonly #caller: Caller;

    constructor(site: Site, caller: Caller) {
        this.#site = site;
        this.#caller = caller;
    }

    async warmUp(): Promise<void> {
        for (let count = 0; count < warmupRequests; count += 1) {
            await this.#request(answerTokens[0]);
            await this.#requestDirectly();
        }
    }

    /** Alternates between the entry and a runner, so that the machine's load affects both equally. */
    async compareLatency(): Promise<readonly ReportRow[]> {
        const throughEntry: number[] = [];
        const direct: number[] = [];
        for (let count = 0; count < comparedRequests; count += 1) {
            direct.push((await this.#requestDirectly()).firstTokenMilliseconds);
            throughEntry.push((await this.#request(answerTokens[0])).firstTokenMilliseconds);
        }
        const added = throughEntry.map((value, index) => value - direct[index]);
        return [
            createRow("direct to the runner", direct),
            createRow("through the entry", throughEntry),
            createRow("added by the entry, by pair", added),
        ];
    }

    async measureCost(): Promise<readonly ReportRow[]> {
        const rows: ReportRow[] = [];
        const points: { size: number; value: number; }[] = [];
        for (const tokens of answerTokens) {
            const before = await this.#readUsage();
            const startedAt = performance.now();
            const records = await this.#requestConcurrently(tokens);
            const seconds = (performance.now() - startedAt) / 1000;
            const after = await this.#readUsage();
            const processor = getProcessorMicroseconds(after) - getProcessorMicroseconds(before);
            let producedTokens = 0;
            for (const record of records) {
                producedTokens += record.completionTokens;
            }
            points.push({ size: producedTokens / records.length, value: processor / records.length });
            rows.push({
                name: `answers of up to ${tokens} tokens`,
                figures: {
                    "requests/s": (records.length / seconds).toFixed(0),
                    "tokens/s": (producedTokens / seconds).toFixed(0),
                    "tokens an answer": (producedTokens / records.length).toFixed(1),
                    "processor µs a request": (processor / records.length).toFixed(0),
                    "resident MB": (after.memory.rss / 1e6).toFixed(0),
                },
            });
        }
        const { intercept, slope, standardError } = fitSlope(points);
        rows.push({
            name: "fitted",
            figures: {
                "processor µs a request": `${intercept.toFixed(0)} + ${slope.toFixed(1)} a token (± ${
                    standardError.toFixed(1)
                })`,
                "requests/s": `${(1e6 / intercept).toFixed(0)} a core, without tokens`,
                "tokens/s": `${(1e6 / slope).toFixed(0)} a core, without requests`,
            },
        });
        return rows;
    }

    async measureGaps(): Promise<readonly ReportRow[]> {
        const atRest = await this.#readGaps(async () => undefined);
        const duringChanges = await this.#readGaps(() => this.#publishChanges());
        return [createRow("configuration at rest", atRest), createRow("40 changes meanwhile", duringChanges)];
    }

    async #publishChanges(): Promise<void> {
        for (let count = 0; count < changesDuringGaps; count += 1) {
            await this.#site.publish([{ section: "root", key: "share", value: String(1 + count % 5) }]);
        }
    }

    async #readGaps(concurrentWork: () => Promise<void>): Promise<readonly number[]> {
        const pendingWork = concurrentWork();
        const gaps: number[] = [];
        for (let count = 0; count < 8; count += 1) {
            const record = await this.#request(answerTokens[2]);
            const decodeMilliseconds = record.milliseconds - record.firstTokenMilliseconds;
            gaps.push(decodeMilliseconds / Math.max(1, record.completionTokens - 1));
        }
        await pendingWork;
        return gaps;
    }

    async #requestConcurrently(tokens: number): Promise<readonly ChatRecord[]> {
        const records: ChatRecord[] = [];
        let remaining = costRequests;
        const loop = async (): Promise<void> => {
            while (remaining > 0) {
                remaining -= 1;
                const record = await this.#request(tokens);
                if (record.isComplete) {
                    records.push(record);
                }
            }
        };
        await Promise.all(Array.from({ length: concurrency }, loop));
        return records;
    }

    #request(tokens: number): Promise<ChatRecord> {
        return this.#caller.chat({
            entry: this.#site.getEntryOrThrow("entry-1").callerAddress,
            key: getApiKey(workspace),
            model: version,
            text: "Draft the wording of the buffet's labels.",
            streamed: true,
            maxTokens: tokens,
        });
    }

    #requestDirectly(): Promise<ChatRecord> {
        return this.#caller.chat({
            entry: this.#site.getUpstreamOrThrow("runner-1").getAddress(),
            key: "none",
            model: version,
            text: "Draft the wording of the buffet's labels.",
            streamed: true,
            maxTokens: answerTokens[0],
        });
    }

    #readUsage(): Promise<EntryUsage> {
        return callJson<EntryUsage>({
            address: this.#site.getEntryOrThrow("entry-1").operatorAddress,
            path: "/status",
        });
    }
}

function getProcessorMicroseconds({ processor }: EntryUsage): number {
    return processor.user + processor.system;
}

function createRow(name: string, values: readonly number[]): ReportRow {
    const sorted = [...values].sort((left, right) => left - right);
    const getPercentile = (part: number) => sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
    return {
        name,
        figures: {
            median: getPercentile(0.5).toFixed(3),
            p95: getPercentile(0.95).toFixed(3),
            p99: getPercentile(0.99).toFixed(3),
            count: values.length,
        },
    };
}
