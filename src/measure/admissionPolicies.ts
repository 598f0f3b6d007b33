/**
 * Ways to let requests in that are measured side by side: the product's and two simple ones.
 */
import type { Clock, RandomSource } from "../common/index.js";
import {
    AdmissionController,
    type AdmissionRequest,
    type LimitOptions,
    type Release,
} from "../decisions/limits/index.js";
import type { EventQueue } from "./eventQueue.js";

/**
 * Names of the ways. `no limit` lets everything in; `fixed limit` has as many places as the upstreams and keeps the
 * rest in one line until it is their turn or their deadline has passed.
 */
export type AdmissionName = "no limit" | "fixed limit" | "rattanlock";

/** All ways, in the order of the tables. */
export const admissionNames: readonly AdmissionName[] = ["no limit", "fixed limit", "rattanlock"];

/** What becomes of a request at the door. */
export interface AdmissionCallbacks {
    readonly admit: (ticket: { readonly priority: number; readonly release: (end: Release) => void; }) => void;
    /** With when to come back, where the way says so. */
    readonly refuse: (retryAfterMilliseconds: number | undefined) => void;
}

/** One entry's way to let requests in. */
export interface Admission {
    readonly offer: (request: AdmissionRequest, verdict: AdmissionCallbacks) => void;
}

/** What a way is made from. */
export interface AdmissionOptions {
    readonly queue: EventQueue;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly capacity: number;
    readonly limits?: Partial<LimitOptions>;
}

/** Makes one entry's way to let requests in. */
export function createAdmission(name: AdmissionName, options: AdmissionOptions): Admission {
    switch (name) {
        case "no limit":
            return {
                offer: (request, verdict) => verdict.admit({ priority: request.priority, release: () => {} }),
            };
        case "fixed limit":
            return createFixedLimit(options);
        case "rattanlock":
            return createController(options);
    }
}

function createFixedLimit(options: AdmissionOptions): Admission {
    const waiting: (() => void)[] = [];
    let freeSlots = Math.round(options.capacity);
    const admit = (request: AdmissionRequest, verdict: AdmissionCallbacks): void => {
        freeSlots -= 1;
        const release = (): void => {
            freeSlots += 1;
            waiting.shift()?.();
        };
        verdict.admit({ priority: request.priority, release });
    };
    return {
        offer: (request, verdict) => {
            if (freeSlots > 0) {
                admit(request, verdict);
                return;
            }
            const next = (): void => admit(request, verdict);
            waiting.push(next);
            options.queue.schedule(request.deadlineMilliseconds, () => {
                const index = waiting.indexOf(next);
                if (index >= 0) {
                    waiting.splice(index, 1);
                    verdict.refuse(undefined);
                }
            });
        },
    };
}

function createController(options: AdmissionOptions): Admission {
    const controller = new AdmissionController({
        clock: options.clock,
        random: options.random,
        options: options.limits,
        schedule: (milliseconds, run) => options.queue.schedule(milliseconds, run),
    });
    controller.setCapacity(options.capacity);
    return {
        offer: (request, verdict) =>
            controller.offer(request, result =>
                result.match(
                    ticket => verdict.admit(ticket),
                    failure => verdict.refuse(failure.retryAfterMilliseconds),
                )),
    };
}
