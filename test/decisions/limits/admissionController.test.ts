import { expect } from "earl";
import { describe, it } from "node:test";
import type { Ticket } from "../../../src/decisions/limits/index.js";
import { createController, createRequest } from "./fixtures.js";

function release(ticket: Ticket): void {
    ticket.release({ outcome: "ok", firstTokenMilliseconds: 50, tokens: 100 });
}

describe("AdmissionController", () => {
    describe("admit", () => {
        it("lets in up to the capacity and takes a place back once", async () => {
            const { controller } = createController(2);
            const first = (await controller.admit(createRequest()))._unsafeUnwrap();
            (await controller.admit(createRequest()))._unsafeUnwrap();
            expect(controller.getInFlight()).toEqual(2);
            release(first);
            release(first);
            expect(controller.getInFlight()).toEqual(1);
        });

        // Twice as much is asked as can be done. A caller that is held until its deadline can neither go elsewhere nor
        // come back in time; one that is told at once can.
        it("gives the final answer at once, or within the short line", () => {
            const { offer, fill, pass } = createController(8);
            fill();
            const decisions = Array.from({ length: 20 }).map(() => offer());
            const waiting = decisions.filter(decision => decision() === undefined);
            expect(waiting.length <= 1).toEqual(true);
            pass(50);
            for (const decision of decisions) {
                expect(decision()!._unsafeUnwrapErr().retryAfterMilliseconds! >= 1_000).toEqual(true);
            }
        });

        it("refuses at once what can't meet its deadline", () => {
            const { offer, fill, answer } = createController(4);
            answer(800, 12);
            fill();
            const refused = offer({ deadlineMilliseconds: 700 })()!._unsafeUnwrapErr();
            expect(refused.kind).toEqual("deadline");
        });

        it("lets the next one in when a place comes free, and stops its timer", () => {
            const { offer, fill, pass, controller } = createController(2);
            const [first] = fill();
            const decision = offer();
            release(first);
            expect(decision()!.isOk()).toEqual(true);
            pass(1_000);
            expect([controller.getInFlight(), controller.getQueueLength()]).toEqual([2, 0]);
        });

        // The caller hangs up while it waits in line. Its place in line must not keep others out, nor may it be let in.
        it("takes a caller that left out of the line", () => {
            const { offer, fill, controller } = createController(2);
            const [first] = fill();
            const abortController = new AbortController();
            const decision = offer({ signal: abortController.signal });
            abortController.abort();
            expect([controller.getQueueLength(), decision()!.isErr()]).toEqual([0, true]);
            release(first);
            expect(controller.getInFlight()).toEqual(1);
        });
    });

    describe("admit, between workspaces", () => {
        // One workspace asks for all there is. A small one that asks now and then would otherwise be refused for hours.
        it("lets a quiet workspace in beside a loud one, and marks it as more urgent", () => {
            const { offer, fill } = createController(10);
            fill({ workspace: "loud", share: 4 });
            expect(offer({ workspace: "loud", share: 4 })()?.isOk() ?? false).toEqual(false);
            const ticket = offer({ workspace: "quiet" })()!._unsafeUnwrap();
            expect(ticket.priority).toEqual(0);
        });

        it("lets in more of a workspace that had less than its share of late", () => {
            const { offer, fill } = createController(10);
            const tickets = fill({ workspace: "loud", share: 9 });
            offer({ workspace: "quiet" })()!._unsafeUnwrap();
            for (const ticket of tickets) {
                release(ticket);
            }
            fill({ workspace: "loud", share: 9 });
            expect(offer({ workspace: "quiet" })()!._unsafeUnwrap().priority).toEqual(0);
        });

        function getServedRatio(options: { readonly capacity: number; readonly every: number; }): number {
            const { controller, pass } = createController(options.capacity);
            const served = new Map([["large", 0], ["small", 0]]);
            const inFlight: { readonly until: number; readonly ticket: Ticket; }[] = [];
            for (let step = 0; step < 20_000; step += 1) {
                pass(10);
                while (inFlight.length > 0 && inFlight[0].until <= step) {
                    release(inFlight.shift()!.ticket);
                }
                if (step % options.every !== 0) {
                    continue;
                }
                const [workspace, share] = step / options.every % 2 === 0
                    ? ["large", 3] as const
                    : ["small", 1] as const;
                controller.offer(createRequest({ workspace, share }), result => {
                    if (result.isOk()) {
                        served.set(workspace, served.get(workspace)! + 1);
                        inFlight.push({ until: step + 80, ticket: result.value });
                    }
                });
            }
            return served.get("large")! / served.get("small")!;
        }

        it("gives two loud workspaces work by their shares", () => {
            for (const options of [{ capacity: 12, every: 1 }, { capacity: 5, every: 5 }]) {
                const ratio = getServedRatio(options);
                expect(ratio > 2.4 && ratio < 3.6).toEqual(true);
            }
        });

        it("sheds the lowest priority before places run out", () => {
            const { offer } = createController(10);
            const enter = (priority: number): boolean => offer({ priority })()?.isOk() ?? false;
            const low = Array.from({ length: 12 }).filter(() => enter(3)).length;
            const usual = Array.from({ length: 12 }).filter(() => enter(1)).length;
            expect([low < 10, low + usual >= 10]).toEqual([true, true]);
        });

        it("gives up the least urgent and newest in line first", () => {
            const { offer, fill, answer } = createController(40);
            answer(50, 30);
            fill({ workspace: "loud" });
            const decisions = Array.from({ length: 30 }).map(() => offer({ workspace: "loud", priority: 1 }));
            const waiting = decisions.filter(decision => decision() === undefined);
            const urgent = offer({ workspace: "loud", priority: 0 });
            expect([waiting.length > 1, urgent()]).toEqual([true, undefined]);
            expect(waiting.map(decision => decision()?.isErr())).toEqual([
                ...waiting.slice(1).map(() => undefined),
                true,
            ]);
        });
    });

    describe("admit, when callers come back", () => {
        function refuseMany(count: number): readonly number[] {
            const { offer, fill, pass } = createController(10);
            fill({ workspace: "loud" });
            const decisions = Array.from({ length: count }).map(() => offer({ workspace: "loud" }));
            pass(50);
            return decisions.map(decision => decision()!._unsafeUnwrapErr().retryAfterMilliseconds!);
        }

        // Everybody who is refused in one second comes back at one moment if all are told the same, and most are
        // refused again.
        it("spreads the returns, later with more refusals, a minute at most", () => {
            const few = refuseMany(10);
            const many = refuseMany(400);
            expect(Math.max(...few) < Math.max(...many)).toEqual(true);
            expect(Math.max(...many) <= 60_000).toEqual(true);
            const seconds = new Map<number, number>();
            for (const retryAfter of refuseMany(100)) {
                const second = Math.floor(retryAfter / 1_000);
                seconds.set(second, (seconds.get(second) ?? 0) + 1);
            }
            expect(Math.max(...seconds.values()) <= 15).toEqual(true);
        });

        // A caller comes back at once, again and again. Each time it is told a longer wait, and its workspace pays.
        it("tells a caller that comes too early to wait longer", () => {
            const { offer, fill, pass } = createController(4);
            fill({ workspace: "loud" });
            const requestRetryAfter = (): number => {
                const decision = offer({ workspace: "loud", caller: "clerk" });
                pass(50);
                return decision()!._unsafeUnwrapErr().retryAfterMilliseconds!;
            };
            requestRetryAfter();
            requestRetryAfter();
            expect(requestRetryAfter() >= 4_000).toEqual(true);
        });

        it("keeps retries beyond the workspace's budget out of the line", () => {
            const { offer, fill } = createController(4);
            for (let index = 0; index < 10; index += 1) {
                release(offer({ isRetry: true })()!._unsafeUnwrap());
            }
            fill();
            expect(offer({ isRetry: true })()?.isErr()).toEqual(true);
            expect(offer()()).toEqual(undefined);
        });
    });

    describe("limit", () => {
        // The upstreams got slow without a word. Letting in as much as before only makes their lines longer.
        it("falls when answers slow down and comes back when they are quick again", () => {
            const { controller, fill, pass, answer } = createController(20);
            answer(100, 40);
            const work = (firstTokenMilliseconds: number, rounds: number): number => {
                for (let round = 0; round < rounds; round += 1) {
                    for (const ticket of fill()) {
                        pass(60);
                        ticket.release({ outcome: "ok", firstTokenMilliseconds, tokens: 100 });
                    }
                }
                return controller.getLimit();
            };
            const before = work(100, 3);
            const slowed = work(5_000, 3);
            expect(slowed < before).toEqual(true);
            expect(work(100, 30)).toEqual(22);
        });

        it("falls when answers fail, to no less than its floor", () => {
            const { controller, answer } = createController(20);
            answer(100, 400, "failed");
            expect(controller.getLimit()).toEqual(8);
            answer(100, 30);
            expect(controller.getLimit()).toEqual(8);
        });

        it("keeps its proportion when the capacity changes, and never falls below one place", () => {
            const { controller } = createController(20);
            controller.setCapacity(10);
            expect(controller.getLimit()).toEqual(10);
            controller.setCapacity(0);
            expect(controller.getLimit()).toEqual(1);
        });
    });
});
