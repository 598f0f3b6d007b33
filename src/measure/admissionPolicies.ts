/**
 * Admission policies that are compared with each other: the product's and two simple ones.
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
 * Names of the admission policies. `no limit` admits every request. `fixed limit` has as many slots as the upstreams;
 * it queues the other requests in order of arrival until a slot is free or their deadline has passed.
 */
export type AdmissionName = "no limit" | "fixed limit" | "rattanlock";

/** All admission policies, in the order of the tables. */
export const admissionNames: readonly AdmissionName[] = ["no limit", "fixed limit", "rattanlock"];

/** Callbacks that receive the decision on a request; exactly one of them is called. */
export interface AdmissionCallbacks {
    readonly admit: (ticket: { readonly priority: number; readonly release: (end: Release) => void; }) => void;
    /** Receives the time after which to retry, where the policy gives one. */
    readonly refuse: (retryAfterMilliseconds: number | undefined) => void;
}

/** Admission control of one entry. */
export interface Admission {
    readonly offer: (request: AdmissionRequest, callbacks: AdmissionCallbacks) => void;
}

/** Options of an admission policy. */
export interface AdmissionOptions {
    readonly queue: EventQueue;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly capacity: number;
    readonly limits?: Partial<LimitOptions>;
}

/** Creates the admission control of one entry. */
export function createAdmission(name: AdmissionName, options: AdmissionOptions): Admission {
    switch (name) {
        case "no limit":
            return {
                offer: (request, callbacks) => callbacks.admit({ priority: request.priority, release: () => {} }),
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
    const admit = (request: AdmissionRequest, callbacks: AdmissionCallbacks): void => {
        freeSlots -= 1;
        const release = (): void => {
            freeSlots += 1;
            waiting.shift()?.();
        };
        callbacks.admit({ priority: request.priority, release });
    };
    return {
        offer: (request, callbacks) => {
            if (freeSlots > 0) {
                admit(request, callbacks);
                return;
            }
            const next = (): void => admit(request, callbacks);
            waiting.push(next);
            options.queue.schedule(request.deadlineMilliseconds, () => {
                const index = waiting.indexOf(next);
                if (index >= 0) {
                    waiting.splice(index, 1);
                    callbacks.refuse(undefined);
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
        offer: (request, callbacks) =>
            controller.offer(request, result =>
                result.match(
                    ticket => callbacks.admit(ticket),
                    failure => callbacks.refuse(failure.retryAfterMilliseconds),
                )),
    };
}
