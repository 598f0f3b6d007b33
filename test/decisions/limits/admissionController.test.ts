import { expect } from "earl";
import { describe, it } from "node:test";
import type { Ticket } from "../../../src/decisions/limits/index.js";
import { createController, createRequest } from "./fixtures.js";

function release(ticket: Ticket): void {
    ticket.release({ outcome: "ok", firstTokenMilliseconds: 50, tokens: 100 });
}

describe("AdmissionController", () => {
    describe("admit", () => {
        it("admits up to the capacity and releases a slot once", async () => {
            const { controller } = createController(2);
            const first = (await controller.admit(createRequest()))._unsafeUnwrap();
            (await controller.admit(createRequest()))._unsafeUnwrap();
            expect(controller.getInFlight()).toEqual(2);
            release(first);
            release(first);
            expect(controller.getInFlight()).toEqual(1);
        });

        // Guards against late refusals. At twice the capacity, a caller that is held until its deadline can neither go elsewhere nor
        // retry in time; a caller that is refused at once can.
        it("decides at once, or within the short queue time", () => {
            const { offer, fill, advance } = createController(8);
            fill();
            const decisions = Array.from({ length: 20 }).map(() => offer());
            const waiting = decisions.filter(decision => decision() === undefined);
            expect(waiting.length <= 1).toEqual(true);
            advance(50);
            for (const decision of decisions) {
                expect(decision()!._unsafeUnwrapErr().retryAfterMilliseconds! >= 1_000).toEqual(true);
            }
        });

        it("refuses a request at once that can't meet its deadline", () => {
            const { offer, fill, answer } = createController(4);
            answer(800, 12);
            fill();
            const refused = offer({ deadlineMilliseconds: 700 })()!._unsafeUnwrapErr();
            expect(refused.kind).toEqual("deadline");
        });

        it("admits the next request when a slot is released, and cancels its timer", () => {
            const { offer, fill, advance, controller } = createController(2);
            const [first] = fill();
            const decision = offer();
            release(first);
            expect(decision()!.isOk()).toEqual(true);
            advance(1_000);
            expect([controller.getInFlight(), controller.getQueueLength()]).toEqual([2, 0]);
        });

        // Guards against leaked queue entries. When a caller disconnects while its request is queued, the request must neither block
        // others nor be admitted.
        it("removes the request of a disconnected caller from the queue", () => {
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
        // Guards against starvation. While one workspace requests the whole capacity, a small one with occasional requests would be
        // refused for hours.
        it("admits a quiet workspace beside a loud one, with a more urgent priority", () => {
            const { offer, fill } = createController(10);
            fill({ workspace: "loud", share: 4 });
            expect(offer({ workspace: "loud", share: 4 })()?.isOk() ?? false).toEqual(false);
            const ticket = offer({ workspace: "quiet" })()!._unsafeUnwrap();
            expect(ticket.priority).toEqual(0);
        });

        it("admits more requests of a workspace that recently used less than its share", () => {
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
            const { controller, advance } = createController(options.capacity);
            const served = new Map([["large", 0], ["small", 0]]);
            const inFlight: { readonly until: number; readonly ticket: Ticket; }[] = [];
            for (let step = 0; step < 20_000; step += 1) {
                advance(10);
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

        it("serves two loud workspaces in proportion to their shares", () => {
            for (const options of [{ capacity: 12, every: 1 }, { capacity: 5, every: 5 }]) {
                const ratio = getServedRatio(options);
                expect(ratio > 2.4 && ratio < 3.6).toEqual(true);
            }
        });

        it("refuses the lowest priority before all slots are in use", () => {
            const { offer } = createController(10);
            const isAdmitted = (priority: number): boolean => offer({ priority })()?.isOk() ?? false;
            const low = Array.from({ length: 12 }).filter(() => isAdmitted(3)).length;
            const usual = Array.from({ length: 12 }).filter(() => isAdmitted(1)).length;
            expect([low < 10, low + usual >= 10]).toEqual([true, true]);
        });

        it("rejects the least urgent and latest queued request first", () => {
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

    describe("admit, when callers retry", () => {
        function refuseMany(count: number): readonly number[] {
            const { offer, fill, advance } = createController(10);
            fill({ workspace: "loud" });
            const decisions = Array.from({ length: count }).map(() => offer({ workspace: "loud" }));
            advance(50);
            return decisions.map(decision => decision()!._unsafeUnwrapErr().retryAfterMilliseconds!);
        }

        // Guards against synchronized retries. If all callers that are refused within one second get the same retry time, they retry
        // at once and most are refused again.
        it("distributes retries over time, up to a minute, and later with more refusals", () => {
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

        // Guards against callers that ignore the retry time. Each early retry gets a longer wait, and its workspace is charged.
        it("increases the wait of a caller that retries too early", () => {
            const { offer, fill, advance } = createController(4);
            fill({ workspace: "loud" });
            const requestRetryAfter = (): number => {
                const decision = offer({ workspace: "loud", caller: "clerk" });
                advance(50);
                return decision()!._unsafeUnwrapErr().retryAfterMilliseconds!;
            };
            requestRetryAfter();
            requestRetryAfter();
            expect(requestRetryAfter() >= 4_000).toEqual(true);
        });

        it("does not queue retries beyond the workspace's budget", () => {
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
        // Guards against overloading slow upstreams. When they slow down without reporting it, an unchanged limit only makes their queues
        // longer.
        it("falls when answers slow down and recovers when they are fast again", () => {
            const { controller, fill, advance, answer } = createController(20);
            answer(100, 40);
            const serveRounds = (firstTokenMilliseconds: number, rounds: number): number => {
                for (let round = 0; round < rounds; round += 1) {
                    for (const ticket of fill()) {
                        advance(60);
                        ticket.release({ outcome: "ok", firstTokenMilliseconds, tokens: 100 });
                    }
                }
                return controller.getLimit();
            };
            const before = serveRounds(100, 3);
            const slowed = serveRounds(5_000, 3);
            expect(slowed < before).toEqual(true);
            expect(serveRounds(100, 30)).toEqual(22);
        });

        it("falls when answers fail, but not below its minimum", () => {
            const { controller, answer } = createController(20);
            answer(100, 400, "failed");
            expect(controller.getLimit()).toEqual(8);
            answer(100, 30);
            expect(controller.getLimit()).toEqual(8);
        });

        it("keeps its proportion when the capacity changes, and never falls below one slot", () => {
            const { controller } = createController(20);
            controller.setCapacity(10);
            expect(controller.getLimit()).toEqual(10);
            controller.setCapacity(0);
            expect(controller.getLimit()).toEqual(1);
        });
    });
});
