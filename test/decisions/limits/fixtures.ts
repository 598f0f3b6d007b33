/** Fixtures for the tests of admission control. */
import type { Result } from "neverthrow";
import { type Failure, ManualClock, RandomSource } from "../../../src/common/index.js";
import {
    AdmissionController,
    type AdmissionRequest,
    type LimitOptions,
    type Ticket,
} from "../../../src/decisions/limits/index.js";

export function createRequest(options: Partial<AdmissionRequest> = {}): AdmissionRequest {
    return {
        workspace: "commissary",
        share: 1,
        priority: 1,
        deadlineMilliseconds: 60_000,
        estimatedTokens: 100,
        ...options,
    };
}

/** Creates a controller whose timers run when the test calls `advance`. */
export function createController(capacity: number, options: Partial<LimitOptions> = {}) {
    const clock = new ManualClock(1_000);
    const timers: { at: number; run: () => void; }[] = [];
    const controller = new AdmissionController({
        clock,
        random: new RandomSource(1),
        options,
        schedule: (milliseconds, run) => {
            const timer = { at: clock.monotonic() + milliseconds, run };
            timers.push(timer);
            return () => timers.splice(timers.indexOf(timer), 1);
        },
    });
    controller.setCapacity(capacity);
    const advance = (milliseconds: number): void => {
        clock.advance(milliseconds);
        for (const timer of timers.filter(candidate => candidate.at <= clock.monotonic())) {
            timer.run();
        }
    };
    /** Offers a request and returns a function that returns the decision, if there is one yet. */
    const offer = (request: Partial<AdmissionRequest> = {}): () => Result<Ticket, Failure> | undefined => {
        let decided: Result<Ticket, Failure> | undefined;
        controller.offer(createRequest(request), result => {
            if (decided !== undefined) {
                throw new Error("The request was decided twice.");
            }
            decided = result;
        });
        return () => decided;
    };
    /** Admits requests of one workspace until all slots are in use. */
    const fill = (request: Partial<AdmissionRequest> = {}): readonly Ticket[] => {
        const tickets: Ticket[] = [];
        while (controller.getInFlight() < controller.getLimit()) {
            tickets.push(offer(request)()!._unsafeUnwrap());
        }
        return tickets;
    };
    /** Completes requests of a known duration, so that the controller can estimate the rate at which slots are released. */
    const answer = (firstTokenMilliseconds: number, times: number, outcome: "ok" | "failed" = "ok"): void => {
        for (let index = 0; index < times; index += 1) {
            const ticket = offer()()!._unsafeUnwrap();
            advance(100);
            ticket.release({ outcome, firstTokenMilliseconds, tokens: 100 });
        }
    };
    return { controller, clock, advance, offer, fill, answer };
}
