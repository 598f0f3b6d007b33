import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import {
    Caller,
    getApiKey,
    metroManila,
    ProcessGroup,
    Site,
    type SiteDescription,
    waitUntil,
} from "../../src/testbench/index.js";
import {
    createChunkedPayload,
    createPipelinedPayload,
    createSizedPayload,
    Crowd,
    type Payload,
} from "../fixtures/crowd.js";
import { watchUse } from "../fixtures/processUse.js";

/** An idle entry takes 128 MB; bodies may take as much again, and their copies while they are parsed. */
const maxMegabytes = 500;
const maxDescriptors = 1_025;
const bodyBytes = 1_048_576;
const maxPatienceMilliseconds = 60_000;

const description: SiteDescription = {
    ...metroManila,
    prefix: "127.60.60",
    entryCount: 1,
    runners: { name: "lm-pool", count: 2, settings: { stepMilliseconds: 20 } },
    entrySettings: { limits: { body_bytes: String(bodyBytes) } },
};

interface CrowdCase {
    readonly name: string;
    readonly clients: number;
    readonly createPayload: (key: string) => Payload;
    readonly isReading?: boolean;
}

function createHead(key: string) {
    return {
        path: "/v1/chat/completions",
        headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
    };
}

const cases: readonly CrowdCase[] = [
    {
        name: "one chunk of 64 MB",
        clients: 20,
        createPayload: key =>
            createChunkedPayload(createHead(key), { bytes: 64 * 1_048_576, chunkBytes: 64 * 1_048_576 }),
    },
    {
        name: "chunks of 64 KB that stop short of the end",
        clients: 300,
        createPayload: key => createChunkedPayload(createHead(key), { bytes: bodyBytes - 65_536, chunkBytes: 65_536 }),
    },
    {
        name: "chunks of one byte that stop short of the end",
        clients: 300,
        createPayload: key => createChunkedPayload(createHead(key), { bytes: 60_000, chunkBytes: 1 }),
    },
    {
        name: "whole bodies of 1 MB",
        clients: 300,
        createPayload: key => createSizedPayload(createHead(key), { stated: bodyBytes }),
    },
    {
        name: "bodies of 1 MB that stop short of a byte",
        clients: 300,
        createPayload: key => createSizedPayload(createHead(key), { stated: bodyBytes, missing: 1 }),
    },
    {
        name: "bodies of 64 MB, announced and sent",
        clients: 100,
        createPayload: key => createSizedPayload(createHead(key), { stated: 64 * 1_048_576 }),
    },
    {
        name: "pipelined requests whose answers are not read",
        clients: 100,
        createPayload: key => createPipelinedPayload(createHead(key), 400, 8_192),
        isReading: false,
    },
];

describe("an entry whose callers do not behave", () => {
    for (const { name, clients, createPayload, isReading } of cases) {
        // Guards against callers that end or occupy an entry for all others by what they send or do not read.
        describe(name, () => {
            const group = new ProcessGroup();
            const caller = new Caller();
            const key = getApiKey("commissary");
            let site: Site;
            before(async () => {
                site = await Site.start(group, description);
            });
            after(async () => {
                await caller.close();
                await group.killAll();
            });

            it(`lives, stays within its memory and answers others: ${name}`, async () => {
                const [entry] = site.getEntries();
                const [host, port] = entry.callerAddress.split(":");
                const payload = createPayload(key);
                const crowd = new Crowd({ host, port: Number(port), clients, payload, isReading });
                const getPeak = watchUse(entry.process.getId());
                const expectAnswer = async (): Promise<void> => {
                    await waitUntil(
                        async () => {
                            if (entry.process.hasExited()) {
                                throw new Error("The process has ended.");
                            }
                            const chat = { entry: entry.callerAddress, key, text: "Does the soy glaze hold sesame?" };
                            return (await caller.chat(chat).catch(() => undefined))?.isComplete;
                        },
                        { description: "an ordinary answer", timeoutMilliseconds: maxPatienceMilliseconds },
                    );
                };
                try {
                    await crowd.send();
                    await expectAnswer();
                    crowd.close();
                    await expectAnswer();
                }
                finally {
                    crowd.close();
                }
                const { megabytes, descriptors } = getPeak();
                console.log(`${name}: ${megabytes.toFixed(0)} MB, ${descriptors} descriptors`);
                expect([megabytes < maxMegabytes, descriptors < maxDescriptors]).toEqual([true, true]);
            });
        });
    }
});
