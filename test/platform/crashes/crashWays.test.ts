import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashTrial } from "./crashTrial.js";
import type { DownState, EndMoment } from "./endingRunner.js";

/** Requests with the part that may reach runners after the contact time. */
const maxLateRequests = 3;
const milliseconds = 14_000;
/** Share of the sound requests that are answered whole, at least. */
const minWholeShare = 0.75;

const ways: readonly { readonly end: EndMoment; readonly down: DownState; readonly prefix: string; }[] = [
    { end: "before-head", down: "refusing", prefix: "127.76.1" },
    { end: "after-event", down: "resetting", prefix: "127.76.2" },
    { end: "after-event", down: "dark", prefix: "127.76.3" },
];

// A part of prompts ends each runner that begins to answer, in a way that leaves no refused connection after the start of an answer.
// Callers of other prompts lose their answers with each of these runners.
describe("a part of prompts whose runners end", () => {
    for (const { end, down, prefix } of ways) {
        it(`is held back if they end ${end} and are ${down}`, async () => {
            const trial = new CrashTrial({ prefix, end, down, milliseconds });
            const { ended, late, whole, sound, quarantinedSound } = await trial.run();
            console.log(`${end}, ${down}: ${ended} ended, ${late} late, ${whole} of ${sound.length} whole`);
            expect(ended > 0).toEqual(true);
            expect(late <= maxLateRequests).toEqual(true);
            expect(whole >= minWholeShare * sound.length).toEqual(true);
            expect(quarantinedSound < sound.length / 2).toEqual(true);
        });
    }
});
