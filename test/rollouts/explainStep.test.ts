import { expect } from "earl";
import { describe, it } from "node:test";
import { ManualClock } from "../../src/common/index.js";
import { type RolloutProgress, Rollouts } from "../../src/rollouts/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream, createUpstreamRegistry } from "../fixtures/upstreams.js";

const tickMilliseconds = 200;
const order = { id: 7, pool: "app", version: "v2", durationMilliseconds: 20_000 };

/** Times to the heads of both versions' answers, of which each tick has one. */
interface Answers {
    readonly candidateMilliseconds: number;
    readonly currentMilliseconds: number;
}

/** Runs a roll-out at a single node and returns its lines on steps. */
async function runRollout(
    answers: Answers | undefined,
): Promise<readonly { readonly event: string; readonly fields: Record<string, unknown>; }[]> {
    const clock = new ManualClock();
    const { journal, lines } = createJournal();
    const registry = createUpstreamRegistry(clock);
    const [current, candidate] = ["v1", "v2"].map(version => createUpstream(`${version}-1`, { version }));
    registry.set(current);
    registry.set(candidate);
    const rollouts = new Rollouts({
        self: "n-0",
        clock,
        journal,
        registry,
        exposureShare: 0.15,
        sessionMilliseconds: 5_000,
        getRank: () => 0,
        isRunning: async () => true,
        publishEvidence: () => undefined,
        getReportInterval: () => 0,
        getEvidence: () => [],
        publishHalt: () => undefined,
        writeProgress: async (...[, progress]: readonly [unknown, RolloutProgress]) => {
            rollouts.setProgress(order.pool, progress);
        },
        isStored: () => true,
        writePins: async () => true,
    });
    rollouts.setOrder(order);
    for (let elapsed = 0; elapsed < 20_000; elapsed += tickMilliseconds) {
        for (const upstream of answers === undefined ? [] : [current, candidate]) {
            const watch = rollouts.watchAttempt(upstream, {
                segment: "route",
                objectiveMilliseconds: 1_000,
                pauseObjectiveMilliseconds: 600,
                isWarmingUp: false,
                load: 0.1,
            });
            const milliseconds = upstream === candidate ? answers!.candidateMilliseconds : answers!.currentMilliseconds;
            clock.advance(milliseconds);
            watch?.markHead();
            watch?.end("answered");
        }
        clock.advance(tickMilliseconds);
        rollouts.tick();
        await Promise.resolve();
    }
    return lines
        .filter(line => line.name === "rollout-step-waits" || line.name === "rollout-step-taken")
        .map(({ name, ...fields }) => ({ event: name, fields }));
}

describe("the lines on the steps of a roll-out", () => {
    // Guards against an incident in which no line says why a step was taken, or what it waited for.
    it("say what each step waits for and why it is taken", async () => {
        const lines = await runRollout(undefined);
        const described = lines.map(({ event, fields }) => {
            return [event, fields.share, fields.evidence, fields.reason ?? fields.awaited];
        });
        expect(described).toEqual([
            ["rollout-step-taken", 0, "scarce", "ordered"],
            ["rollout-step-waits", 0, "scarce", "announcement"],
            ["rollout-step-taken", 0.09, "scarce", "announced"],
            ["rollout-step-waits", 0.09, "scarce", "time"],
            ["rollout-step-waits", 0.09, "scarce", "more evidence"],
            ["rollout-step-taken", 0.35, "scarce", "latest time"],
            ["rollout-step-waits", 0.35, "scarce", "more evidence"],
            ["rollout-step-taken", 1, "scarce", "latest time"],
            ["rollout-step-waits", 1, "scarce", "time at full share"],
            ["rollout-step-taken", 1, "scarce", "nothing left at the old version"],
        ]);
    });

    it("say what is known of both versions", async () => {
        const lines = await runRollout({ candidateMilliseconds: 20, currentMilliseconds: 20 });
        const second = lines.find(({ fields }) => fields.share === 0.35)!;
        expect([second.fields.evidence, second.fields.reason]).toEqual(["sound", "sound evidence"]);
        expect(second.fields.newVersion).toEqual("24 answers, 0 failures, 24 times, 0 pauses");
        expect(second.fields.oldVersion).toEqual("24 answers, 0 failures, 24 times, 0 pauses");
    });

    it("say that a version is reverted as it is bad", async () => {
        const lines = await runRollout({ candidateMilliseconds: 200, currentMilliseconds: 20 });
        const { event, fields } = lines.at(-1)!;
        expect([event, fields.state, fields.reason]).toEqual([
            "rollout-step-taken",
            "reverted",
            "the new version is bad",
        ]);
    });
});
