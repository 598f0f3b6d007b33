import { expect } from "earl";
import type { ChildProcess } from "node:child_process";
import { describe, it } from "node:test";
import { RandomSource } from "../../../src/common/index.js";
import type { EventLine } from "../../../src/events/index.js";
import type { PlatformSite, SiteNode } from "../platformSite.js";
import { SoakNodes } from "./soakNodes.js";
import { SoakRecord } from "./soakRecord.js";

const downMilliseconds = 5;

interface StartedNode extends SiteNode {
    readonly exit: () => void;
}

/** Creates a process that exits when it is told to in the test. */
function createNode(index: number): StartedNode {
    let exit = (): void => undefined;
    const exited = new Promise<number>(resolve => exit = () => resolve(0));
    const child = { kill: () => true, signalCode: "SIGTERM" } as unknown as ChildProcess;
    return { address: `127.0.0.${index}`, child, events: [], settingsFile: "", cutFile: "", exited, exit };
}

/** Creates a site of which only the nodes exist. */
function createSite() {
    const started: StartedNode[] = [];
    const nodes: SiteNode[] = [];
    const startNode = (index: number): SiteNode => {
        const node = createNode(index);
        started.push(node);
        nodes[index - 1] = node;
        return node;
    };
    return { started, site: { nodes, startNode, waitForReady: async () => undefined } as unknown as PlatformSite };
}

function addLine({ events }: SiteNode, name: string, milliseconds: number): void {
    events.push({ name, time: performance.timeOrigin + milliseconds } as EventLine);
}

describe("SoakNodes", () => {
    // Guards against requests that count as lost while a node is down that was told to stop as it started.
    it("reports a node as stopped until the next process has started", async () => {
        const { site, started } = createSite();
        const nodes = new SoakNodes({
            site,
            random: new RandomSource(1),
            record: new SoakRecord(),
            count: 2,
            areCuttable: false,
            getStoreAddress: () => "",
        });
        await nodes.start();
        for (const node of started) {
            addLine(node, "settings-read", 0);
        }
        const stopping = nodes.stopNode("SIGTERM", downMilliseconds);
        const saidAt = performance.now() + 10;
        for (const node of started) {
            addLine(node, "process-started", saidAt);
            node.exit();
        }
        await stopping;
        addLine(started[2], "process-started", saidAt + 2_000);
        const [{ kind, node, until }] = nodes.faults;
        expect([kind, node, Math.round(until - saidAt)]).toEqual(["stopped", started[2].address, 2_000]);
    });
});
