/**
 * The subjects measured for docs/CAPACITY.md: each kind of state and work of control, by the size that it grows with.
 */
import { ClaimFold, claimsFormat, claimsKind, createPinKey, createRunKey } from "../../claims/index.js";
import { ManualClock, RandomSource } from "../../common/index.js";
import { type Change, ConfigurationFold, createPublishRecord } from "../../configuration/index.js";
import { Evidence, RunnerChooser } from "../../decisions/index.js";
import { EventBuffer } from "../../events/index.js";
import type { LogEntry, LogRecord } from "../../log/index.js";
import type { LoadReport, Vm } from "../../world/index.js";
import { buildBillReplicas, buildWaitingBills } from "./billSubjects.js";
import { measureHeap, measureTime } from "./heap.js";
import { buildNode, prepareMembers } from "./memberSubjects.js";
import type { Point } from "./slope.js";

const classCount = 8;
const domainCount = 17;
const regionCount = 8;
const seed = 1;
const changesInRecord = 500;
const wallStart = Date.UTC(2026, 0, 1);

/** A kind of state or work whose growth is measured. */
export interface Subject {
    readonly name: string;
    /** The item by whose number it grows. */
    readonly per: string;
    readonly unit: "bytes" | "milliseconds";
    readonly measure: () => readonly Point[] | Promise<readonly Point[]>;
}

/** All subjects, in the order in which docs/CAPACITY.md lists them. */
export const subjects: readonly Subject[] = [
    {
        name: "configuration kept",
        per: "workspace",
        unit: "bytes",
        measure: () => measureHeap([400, 800, 1600, 3200], size => buildConfiguration(size)),
    },
    {
        name: "configuration change folded",
        per: "workspace",
        unit: "milliseconds",
        measure: () => measureTime([200, 400, 800, 1600], size => prepareChange(size), 40),
    },
    {
        name: "runners known",
        per: "runner",
        unit: "bytes",
        measure: () => measureHeap([200, 500, 1000, 2100], size => buildChooser(size)),
    },
    {
        name: "VM list taken in",
        per: "runner",
        unit: "milliseconds",
        measure: () =>
            measureTime([200, 500, 1000, 2100], size => {
                const chooser = buildChooser(size);
                const vms = createRunners(size);
                return () => chooser.setUpstreams(vms);
            }, 20),
    },
    {
        name: "members kept",
        per: "entry",
        unit: "bytes",
        measure: () => measureHeap([50, 100, 200, 350], buildNode),
    },
    {
        name: "list of members formed",
        per: "entry",
        unit: "milliseconds",
        measure: () => measureTime([50, 100, 200, 350], prepareMembers, 40),
    },
    {
        name: "load report taken in",
        per: "runner",
        unit: "milliseconds",
        measure: () =>
            measureTime([200, 500, 1000, 2100], size => {
                const chooser = buildChooser(size);
                let turn = 0;
                return () => {
                    turn += 1;
                    chooser.addLoadReport(createReport(turn % size, turn));
                };
            }, 2000),
    },
    {
        name: "evidence kept",
        per: "version (with 8 classes)",
        unit: "bytes",
        measure: () => measureHeap([2, 4, 8, 11], size => buildEvidence(size)),
    },
    {
        name: "evidence of another entry kept",
        per: "entry (11 versions, 8 classes)",
        unit: "bytes",
        measure: () => measureHeap([10, 50, 100, 200], size => buildMergedEvidence(size)),
    },
    {
        name: "evidence of another entry taken in",
        per: "version (with 8 classes)",
        unit: "milliseconds",
        measure: () =>
            measureTime([2, 4, 8, 11], size => {
                const counts = buildEvidence(size).exportOwn();
                const evidence = createEvidence();
                let turn = 0;
                return () => {
                    turn += 1;
                    evidence.merge(`entry-${turn % 50}`, counts);
                };
            }, 100),
    },
    {
        name: "idempotency key kept by a collector",
        per: "key",
        unit: "bytes",
        measure: () => measureHeap([2000, 5000, 10_000, 20_000], size => buildClaims(size, "run")),
    },
    {
        name: "session pin kept by a collector",
        per: "session",
        unit: "bytes",
        measure: () => measureHeap([2000, 5000, 10_000, 20_000], size => buildClaims(size, "pin")),
    },
    {
        name: "bill that waits for the log",
        per: "bill",
        unit: "bytes",
        measure: () => measureHeap([2000, 5000, 10000, 20000], buildWaitingBills),
    },
    {
        name: "copy of another entry's bill",
        per: "bill",
        unit: "bytes",
        measure: () => measureHeap([2000, 5000, 10000, 20000], buildBillReplicas),
    },
    {
        name: "event kept for time lines",
        per: "event",
        unit: "bytes",
        measure: () => measureHeap([2000, 5000, 10_000, 20_000], size => buildEvents(size)),
    },
];

function buildConfiguration(workspaces: number): ConfigurationFold {
    const fold = new ConfigurationFold();
    let offset = 0;
    for (const changes of splitChanges(createChanges(workspaces))) {
        const record = createPublishRecord({ author: "operator", reason: "", basedOn: offset, changes }, "operator");
        fold.apply(toLogEntry(offset, record));
        offset += 1;
    }
    for (let index = 0; index < workspaces; index += 1) {
        fold.getConfiguration().getEffective({ workspace: `w${index}` });
    }
    return fold;
}

function createChanges(workspaces: number): readonly Change[] {
    const changes: Change[] = [];
    for (let index = 0; index < 11; index += 1) {
        const section = `version.model-${index % 4}@${index}`;
        changes.push({ section, key: "status", value: "serving" });
        changes.push({ section, key: "input_price", value: "1" });
        changes.push({ section, key: "output_price", value: "2" });
    }
    for (let index = 0; index < workspaces; index += 1) {
        const section = `workspace.w${index}`;
        changes.push({ section, key: "keys", value: index.toString(16).padStart(64, "0") });
        changes.push({ section, key: "target_quality", value: "0.8" });
        changes.push({ section, key: "share", value: "2" });
        changes.push({ section, key: "allowed", value: "model-0, model-1, model-2" });
    }
    return changes;
}

function splitChanges(changes: readonly Change[]): readonly (readonly Change[])[] {
    const parts: (readonly Change[])[] = [];
    for (let start = 0; start < changes.length; start += changesInRecord) {
        parts.push(changes.slice(start, start + changesInRecord));
    }
    return parts;
}

/** Returns a function that folds one change and recomputes the effective settings of the 20 busiest workspaces. */
function prepareChange(workspaces: number): () => void {
    const fold = buildConfiguration(workspaces);
    return () => {
        const offset = fold.getOffset();
        const changes = [{ section: `workspace.w${offset % workspaces}`, key: "share", value: String(1 + offset % 9) }];
        const record = createPublishRecord({ author: "operator", reason: "", basedOn: offset, changes }, "operator");
        fold.apply(toLogEntry(offset, record));
        for (let index = 0; index < 20; index += 1) {
            fold.getConfiguration().getEffective({ workspace: `w${index}` });
        }
    };
}

function toLogEntry(offset: number, record: LogRecord): LogEntry {
    return { offset, time: wallStart + offset, record };
}

function buildChooser(runners: number): RunnerChooser {
    const chooser = new RunnerChooser({
        self: { failureDomain: "d0", region: "r0", subsetKey: "entry-0" },
        clock: new ManualClock(wallStart),
        random: new RandomSource(seed),
    });
    chooser.setUpstreams(createRunners(runners));
    for (let index = 0; index < runners; index += 1) {
        chooser.addLoadReport(createReport(index, 1));
    }
    return chooser;
}

function createRunners(count: number): readonly Vm[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `runner-${index}`,
        address: `10.${index >> 8}.${index & 255}.1`,
        port: 8000,
        role: "runner",
        pool: `pool-${index % regionCount}`,
        failureDomain: `d${index % domainCount}`,
        region: `r${index % regionCount}`,
        state: "live",
    }));
}

function createReport(index: number, turn: number): LoadReport {
    return {
        upstream: `runner-${index}`,
        measuredAt: wallStart + turn,
        running: 3,
        waiting: 0,
        capacity: 16,
        versions: [`model-${index % 4}@${index % 11}`],
        leaving: false,
    };
}

function createEvidence(): Evidence {
    return new Evidence({ clock: new ManualClock(wallStart) });
}

/** Builds the evidence of one hour in which every version answered in every class. */
function buildEvidence(versions: number): Evidence {
    const clock = new ManualClock(wallStart);
    const evidence = new Evidence({ clock });
    const random = new RandomSource(seed);
    for (let second = 0; second < 3600; second += 4) {
        for (let index = 0; index < versions; index += 1) {
            const requestClass = `class-${Math.floor(random.next() * classCount)}`;
            const version = `model-${index % 4}@${index}`;
            evidence.addAnswer({ version, requestClass, failed: false, slow: false });
            evidence.addRating({ version, requestClass, score: random.next() });
        }
        clock.advance(4000);
    }
    return evidence;
}

function buildMergedEvidence(entries: number): Evidence {
    const counts = JSON.stringify(buildEvidence(11).exportOwn());
    const evidence = createEvidence();
    for (let index = 0; index < entries; index += 1) {
        evidence.merge(`entry-${index}`, JSON.parse(counts) as ReturnType<Evidence["exportOwn"]>);
    }
    return evidence;
}

function buildClaims(count: number, purpose: "run" | "pin"): ClaimFold {
    const fold = new ClaimFold();
    for (let index = 0; index < count; index += 1) {
        const key = purpose === "run"
            ? createRunKey("workspace", `key-${index}`)
            : createPinKey("workspace", `s-${index}`);
        const operation = { kind: "claim", id: `request-${index}/claim`, key, value: `request-${index}` };
        fold.apply(toLogEntry(index, {
            id: `record-${index}`,
            kind: claimsKind,
            format: claimsFormat,
            writer: "entry-0",
            body: { operations: [operation] },
        }));
    }
    return fold;
}

function buildEvents(count: number): EventBuffer {
    const buffer = new EventBuffer(count);
    for (let index = 0; index < count; index += 1) {
        buffer.add({
            event: 401,
            name: "request-dispatched",
            level: "info",
            process: "entry-0",
            time: wallStart + index,
            counter: index,
            request: `00000000-0000-0000-0000-${String(index).padStart(12, "0")}`,
            version: "model-0@1",
            upstream: `runner-${index % 2100}`,
        });
    }
    return buffer;
}
