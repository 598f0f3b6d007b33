/**
 * Stand-in for a plain application service, such as one that books pickups. It journals each call that took effect.
 */
import type Koa from "koa";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { systemClock } from "../common/index.js";
import type { LoadReport } from "../world/index.js";
import type { Address } from "./address.js";
import { commonConditions, Conditions, flag, nonNegativeNumber } from "./conditions.js";
import { dropConnection, sendProblem, setRateLimit, StandinServer } from "./standinServer.js";

const schema = z.strictObject({
    ...commonConditions,
    name: z.string().default("service"),
    capacity: nonNegativeNumber.default(16),
    /** Requests a second that the service states to take from all entries together; 0 states no limit. */
    statedPerSecond: nonNegativeNumber.default(0),
    /** Time between a call taking effect and its answer. */
    workMilliseconds: nonNegativeNumber.default(0),
    leaving: flag.default(false),
    /** Seconds of rest that the service asks for as it rejects each call; 0 serves them. */
    restSeconds: nonNegativeNumber.default(0),
    /** The service's process ends as soon as it has received a body that contains this text. */
    crashesOn: z.string().default(""),
    /** Number of upcoming calls that take effect and then lose their connection. */
    dropAfterRun: nonNegativeNumber.default(0),
    /** Number of upcoming calls that lose their connection without taking effect. */
    dropBeforeRun: nonNegativeNumber.default(0),
    /** Number of upcoming calls that neither take effect nor are answered. */
    hang: nonNegativeNumber.default(0),
    /** Number of upcoming calls that take effect and are never answered. */
    hangAfterRun: nonNegativeNumber.default(0),
});

type FaultCounter = "dropAfterRun" | "dropBeforeRun" | "hang" | "hangAfterRun";

/** Journal entry of a call that took effect. */
interface RunJournalEntry {
    readonly run: number;
    readonly time: number;
    readonly method: string;
    readonly path: string;
    readonly request: string | undefined;
    readonly key: string | undefined;
    readonly body: string;
}

/** Journal entry of a call that was rejected with a rest. */
interface RejectionJournalEntry {
    /** Unix time in milliseconds. */
    readonly rejectedAt: number;
}

/** A plain service in which each call takes effect immediately and is journaled. */
export class PlainService {
    readonly #conditions: Conditions<z.infer<typeof schema>>;
    readonly #server: StandinServer;
    readonly #journal: (RunJournalEntry | RejectionJournalEntry)[] = [];
    #activeCount = 0;

    constructor(listen: Address, settings: object = {}) {
        this.#conditions = new Conditions(schema, settings);
        this.#server = new StandinServer({
            listen,
            getConditions: () => this.#conditions.get(),
            changeConditions: change => this.#conditions.change(change),
            getJournal: () => this.#journal,
            addRoutes: router => {
                router.get("/load", context => {
                    context.body = this.#getLoad();
                });
            },
            fallback: context => this.#serve(context),
        });
    }

    /** Starts listening and returns the address in use. */
    start(): Promise<Address> {
        return this.#server.start();
    }

    /** Stops listening and closes all connections. */
    stop(): Promise<void> {
        return this.#server.stop();
    }

    async #serve(context: Koa.Context): Promise<void> {
        const { leaving, restSeconds } = this.#conditions.get();
        if (leaving) {
            sendProblem(context, 409, "leaving", "This service is leaving. Use another service.");
            return;
        }
        if (restSeconds > 0) {
            this.#journal.push({ rejectedAt: systemClock.wall() });
            context.set("Retry-After", String(restSeconds));
            sendProblem(context, 503, "overloaded", "This service needs rest. Use another service.");
            return;
        }
        this.#activeCount += 1;
        const load = this.#getLoad();
        context.set("X-Load", `${load.running}/${load.waiting}/${load.capacity}`);
        setRateLimit(context, this.#conditions.get().statedPerSecond);
        try {
            await this.#run(context);
        }
        finally {
            this.#activeCount -= 1;
        }
    }

    async #run(context: Koa.Context): Promise<void> {
        const body = await text(context.req);
        const { crashesOn } = this.#conditions.get();
        if (crashesOn !== "" && body.includes(crashesOn)) {
            process.exit(1);
        }
        if (this.#consumeFault("hang")) {
            context.respond = false;
            return;
        }
        if (this.#consumeFault("dropBeforeRun")) {
            dropConnection(context);
            return;
        }
        const journalEntry = this.#recordRun(context, body);
        await sleep(this.#conditions.get().workMilliseconds);
        if (this.#consumeFault("dropAfterRun")) {
            dropConnection(context);
            return;
        }
        if (this.#consumeFault("hangAfterRun")) {
            context.respond = false;
            return;
        }
        context.body = {
            run: journalEntry.run,
            request: journalEntry.request,
            key: journalEntry.key,
            service: this.#conditions.get().name,
        };
    }

    #recordRun(context: Koa.Context, body: string): RunJournalEntry {
        const journalEntry = {
            run: this.#journal.length + 1,
            time: systemClock.wall(),
            method: context.method,
            path: context.url,
            request: getHeader(context, "X-Request-Id"),
            key: getHeader(context, "Idempotency-Key"),
            body,
        };
        this.#journal.push(journalEntry);
        return journalEntry;
    }

    #consumeFault(key: FaultCounter): boolean {
        const remaining = this.#conditions.get()[key];
        if (remaining < 1) {
            return false;
        }
        this.#conditions.change({ [key]: remaining - 1 });
        return true;
    }

    #getLoad(): LoadReport {
        const { name, capacity, leaving } = this.#conditions.get();
        return {
            upstream: name,
            measuredAt: systemClock.wall(),
            running: Math.min(this.#activeCount, capacity),
            waiting: Math.max(0, this.#activeCount - capacity),
            capacity,
            versions: [],
            leaving,
        };
    }
}

function getHeader(context: Koa.Context, name: string): string | undefined {
    const value = context.get(name);
    return value === "" ? undefined : value;
}
