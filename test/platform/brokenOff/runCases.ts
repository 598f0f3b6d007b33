/**
 * Sends streams and calls whose runners end them in given ways, and tells which did not reach their callers as they may.
 */
import { writeFileSync } from "node:fs";
import { waitUntil } from "../../../src/testbench/index.js";
import type { SiteNode } from "../platformSite.js";
import type { ReadingPace } from "../standins/framedCaller.js";
import type { AnswerCase } from "./framedCases.js";
import type { FramedRoute, FramedSite } from "./framedSite.js";

/** Streams at once: bytes of 700 KB events wait in the node, whose memory is bounded. */
const concurrency: Readonly<Record<ReadingPace, number>> = { quick: 8, paused: 8, slow: 2 };

/** A case on one of the routes. */
export interface RoutedCase {
    readonly one: AnswerCase;
    readonly route: FramedRoute;
}

/** What was found of a number of cases. */
export interface CaseCount {
    readonly cases: number;
    /** Runs at runners. */
    readonly runs: number;
    /** Those that did not get what they may, one line each. */
    readonly wrong: readonly string[];
}

/** Sends cases of one pace and counts what came of them. */
export async function runCases(
    site: FramedSite,
    node: SiteNode,
    cases: readonly RoutedCase[],
): Promise<CaseCount> {
    const waiting = [...cases];
    const wrong: string[] = [];
    let runs = 0;
    const run = async (): Promise<void> => {
        for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
            const { one, route } = next;
            const result = await site.send({ node, route, ...one });
            runs += result.runs;
            if (result.verdict !== "right") {
                const { events, end } = result.seen;
                const seen = `${result.verdict}: ${events.length} events, ${end}, ${result.runs} runs`;
                wrong.push(`${one.pace}, ${route}: ${one.name} -> ${seen}; ${describeLines(node, result.id)}`);
            }
        }
    };
    const pace = cases.at(0)?.one.pace ?? "quick";
    await Promise.all(Array.from({ length: concurrency[pace] }, run));
    return { cases: cases.length, runs, wrong };
}

/** Names why attempts at a request ended, and what upstreams did not answer, for the message of a failed test. */
function describeLines({ events }: SiteNode, id: string): string {
    return events
        .filter(({ name, request }) => name === "liveness-unknown" || request === id)
        .map(({ name, reason, message }) => `${name}: ${reason ?? message ?? ""}`)
        .join(" | ");
}

/** Cuts the path of a node to all runners, and waits until another node relays its answers. */
export async function cutOff(site: FramedSite, node: SiteNode): Promise<void> {
    await site.site.waitForAddresses(node, 2);
    writeFileSync(node.cutFile, "reset");
    const isRelayed = async (): Promise<boolean> =>
        (await site.send({ node, route: "single", answers: [{ framing: "chunks" }] })).seen.status === 200;
    await waitUntil(isRelayed, { description: "a relayed answer" });
}
