/** Controllers and requests for the tests of admission. */
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

/** Makes a controller whose timers run when the test calls `pass`. */
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
    const pass = (milliseconds: number): void => {
        clock.advance(milliseconds);
        for (const timer of timers.filter(candidate => candidate.at <= clock.monotonic())) {
            timer.run();
        }
    };
    /** Offers a request and returns a reader of what was decided so far. */
    const offer = (request: Partial<AdmissionRequest> = {}): () => Result<Ticket, Failure> | undefined => {
        let decided: Result<Ticket, Failure> | undefined;
        controller.offer(createRequest(request), result => {
            if (decided !== undefined) {
                throw new Error("A request was decided twice.");
            }
            decided = result;
        });
        return () => decided;
    };
    /** Lets in as many requests of one workspace as there are places. */
    const fill = (request: Partial<AdmissionRequest> = {}): readonly Ticket[] => {
        const tickets: Ticket[] = [];
        while (controller.getInFlight() < controller.getLimit()) {
            tickets.push(offer(request)()!._unsafeUnwrap());
        }
        return tickets;
    };
    /** Makes answers take a time, so that the rate at which places come free is known. */
    const answer = (firstTokenMilliseconds: number, times: number, outcome: "ok" | "failed" = "ok"): void => {
        for (let index = 0; index < times; index += 1) {
            const ticket = offer()()!._unsafeUnwrap();
            pass(100);
            ticket.release({ outcome, firstTokenMilliseconds, tokens: 100 });
        }
    };
    return { controller, clock, pass, offer, fill, answer };
}
