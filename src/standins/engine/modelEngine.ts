/**
 * Stand-in for a model engine: the HTTP API.
 */
import type Router from "@koa/router";
import type Koa from "koa";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import { RandomSource, systemClock } from "../../common/index.js";
import type { LoadReport } from "../../world/index.js";
import type { Address } from "../address.js";
import { Conditions } from "../conditions.js";
import { readJson, sendProblem, setRateLimit, StandinServer } from "../standinServer.js";
import type { AnswerStream } from "./answerStream.js";
import { Batch } from "./batch.js";
import { type ChatRequest, createCompletion, readChatRequest } from "./chat.js";
import { type EngineConditions, engineSchema, expandVersionChange } from "./engineConditions.js";
import { EngineRun, type RunJournalEntry } from "./engineRun.js";
import { LoadedVersions, type OrderJournalEntry, readOrder } from "./loadedVersions.js";
import { BlockHasher, PrefixCache } from "./prefixCache.js";

const retryAfterSeconds = "1";
const lowestPriority = 9;

const transferSchema = z.object({ version: z.string(), blocks: z.array(z.string()).readonly() });

type CacheTransfer = z.infer<typeof transferSchema>;

/** Steps after the start of a run at which an engine crashes, if its conditions say so. The first token is out by then. */
const stepsBeforeCrash = 5;

/** An engine with continuous batching, a prefix cache, orders and injected faults. */
export class ModelEngine {
    readonly #conditions: Conditions<EngineConditions>;
    readonly #server: StandinServer;
    readonly #batch: Batch;
    readonly #cache: PrefixCache;
    readonly #versions: LoadedVersions;
    readonly #runs = new Map<string, EngineRun>();
    readonly #journal: (RunJournalEntry | OrderJournalEntry)[] = [];
    #hasher: BlockHasher | undefined;
    #lastReport: LoadReport;

    constructor(listen: Address, settings: object = {}) {
        this.#conditions = new Conditions(engineSchema, settings);
        const getConditions = (): EngineConditions => this.#conditions.get();
        this.#batch = new Batch(getConditions);
        this.#cache = new PrefixCache(getConditions, new RandomSource(getConditions().seed));
        this.#versions = new LoadedVersions(getConditions);
        this.#lastReport = this.#measureLoad();
        this.#server = new StandinServer({
            listen,
            getConditions,
            changeConditions: change => this.#conditions.change(expandVersionChange(getConditions(), change)),
            getJournal: () => this.#journal,
            addRoutes: router => this.#addRoutes(router),
        });
    }

    /** Starts listening and returns the address in use. */
    async start(): Promise<Address> {
        this.#hasher = await BlockHasher.create();
        return this.#server.start();
    }

    /** Stops listening, waits for answers in progress up to a timeout, and stops the batch. */
    async stop(): Promise<void> {
        await this.#server.stop();
        this.#batch.stop();
    }

    #addRoutes(router: Router): void {
        router.post("/v1/chat/completions", context => this.#complete(context));
        router.get("/streams/:request", context => this.#resume(context, context.params.request));
        router.delete("/streams/:request", context => this.#cancel(context, context.params.request));
        router.get("/load", context => {
            context.body = { ...this.#getReport(), checksFencing: this.#conditions.get().checksFencing };
        });
        router.get("/cache-events", context => {
            context.body = this.#cache.getEvents(Number(context.query.from ?? 0));
        });
        router.post("/orders", context => this.#applyOrder(context));
        router.get("/kv/:request", context => this.#exportCache(context, context.params.request));
        router.put("/kv/:request", context => this.#importCache(context));
    }

    async #complete(context: Koa.Context): Promise<void> {
        const chat = readChatRequest(await readJson(context));
        if (chat === undefined) {
            sendProblem(
                context,
                400,
                "bad-request",
                "The body is not a chat completion request. Send model and messages.",
            );
            return;
        }
        if (this.#rejectIfUnavailable(context, chat.model)) {
            return;
        }
        const run = this.#startRun(context, chat);
        await run.stream.waitForStart();
        if (run.stream.getState() === "failed") {
            sendProblem(context, 500, "engine-failed", "The engine failed while it processed this request.");
            return;
        }
        if (chat.stream) {
            this.#sendStream(context, run.stream, 0);
            return;
        }
        await run.stream.waitForEnd();
        if (run.stream.getState() === "cancelled") {
            sendProblem(context, 499, "cancelled", "The request was cancelled.");
            return;
        }
        const { id, ran } = run.journalEntry;
        context.body = createCompletion(`chatcmpl-${id}`, ran, run.getText(), run.getFinishReason(), run.getUsage());
    }

    /** Rejects a request that the engine can't accept, before any of it has run. Returns whether it was rejected. */
    #rejectIfUnavailable(context: Koa.Context, version: string): boolean {
        const { leaving, maximumWaiting } = this.#conditions.get();
        if (leaving) {
            sendProblem(context, 409, "leaving", "This engine is leaving. Use another engine.");
            return true;
        }
        if (!this.#versions.has(version)) {
            sendProblem(context, 404, "not-loaded", `Version ${version} is not loaded. Use another engine.`);
            return true;
        }
        if (this.#batch.getWaitingCount() >= maximumWaiting) {
            context.set("Retry-After", retryAfterSeconds);
            sendProblem(context, 429, "full", "The queue is full. Use another engine or try again later.");
            return true;
        }
        return false;
    }

    #startRun(context: Koa.Context, chat: ChatRequest): EngineRun {
        const request = context.get("X-Request-Id") || `unnamed-${this.#journal.length}`;
        const version = this.#conditions.get().runsInstead[chat.model] ?? chat.model;
        const run = new EngineRun({
            request,
            requestClass: context.get("X-Request-Class"),
            priority: Number(context.get("X-Priority") || lowestPriority),
            chat,
            version,
            blocks: this.#hasher?.getBlocks(chat.prompt) ?? [],
            cache: this.#cache,
            getConditions: () => this.#conditions.get(),
        });
        this.#runs.set(request, run);
        this.#journal.push(run.journalEntry);
        this.#batch.add(run.sequence);
        this.#crashIfRequired(chat.prompt);
        void this.#removeAfterRetention(request, run);
        const load = this.#measureLoad();
        context.set("X-Model-Version", version);
        context.set("X-Load", `${load.running}/${load.waiting}/${load.capacity}`);
        setRateLimit(context, this.#conditions.get().statedPerSecond);
        return run;
    }

    #crashIfRequired(prompt: string): void {
        const { crashesOn, stepMilliseconds } = this.#conditions.get();
        if (crashesOn !== "" && prompt.includes(crashesOn)) {
            setTimeout(() => process.exit(1), stepsBeforeCrash * stepMilliseconds);
        }
    }

    /** Removes a run `keepMilliseconds` after its end. Until then its stream can be resumed. */
    async #removeAfterRetention(request: string, run: EngineRun): Promise<void> {
        await run.stream.waitForEnd();
        const timer = setTimeout(() => {
            if (this.#runs.get(request) === run) {
                this.#runs.delete(request);
            }
        }, this.#conditions.get().keepMilliseconds);
        timer.unref();
    }

    async #resume(context: Koa.Context, request: string): Promise<void> {
        const run = this.#runs.get(request);
        if (run === undefined) {
            sendProblem(context, 404, "no-stream", "The stream does not exist or has expired. Send the request again.");
            return;
        }
        context.set("X-Model-Version", run.journalEntry.ran);
        this.#sendStream(context, run.stream, Number(context.get("Last-Event-ID") || 0));
    }

    #sendStream(context: Koa.Context, stream: AnswerStream, after: number): void {
        sendStream(context, stream, { after, readerLagMilliseconds: this.#conditions.get().readerLagMilliseconds });
    }

    #cancel(context: Koa.Context, request: string): void {
        const run = this.#runs.get(request);
        if (run === undefined || run.stream.isClosed()) {
            sendProblem(
                context,
                404,
                "no-stream",
                "The stream does not exist or has ended. There is nothing to cancel.",
            );
            return;
        }
        if (context.query.idle === "true" && run.stream.hasReaders()) {
            sendProblem(context, 409, "stream-read", "The stream has a reader. Leave it running.");
            return;
        }
        run.cancel();
        this.#batch.remove(run.sequence);
        const usage = run.getUsage();
        context.body = {
            usage: {
                prompt_tokens: usage.promptTokens,
                cached_tokens: usage.cachedTokens,
                completion_tokens: usage.outputTokens,
            },
        };
    }

    async #applyOrder(context: Koa.Context): Promise<void> {
        const order = readOrder(await readJson(context));
        if (order === undefined) {
            sendProblem(context, 400, "bad-order", "The body is not an order. Send fence, versions and role.");
            return;
        }
        const outcome = this.#versions.applyOrder(order);
        this.#journal.push({ kind: "order", time: systemClock.wall(), ...order, outcome });
        if (outcome === "refused") {
            sendProblem(context, 409, "old-fence", "The engine has seen a newer fencing token. Give up the lease.");
            return;
        }
        context.body = { versions: this.#versions.get() };
    }

    #exportCache(context: Koa.Context, request: string): void {
        const run = this.#runs.get(request);
        if (run === undefined) {
            sendProblem(
                context,
                404,
                "no-cache",
                "The KV cache does not exist or has expired. Compute the prompt again.",
            );
            return;
        }
        context.body = { version: run.journalEntry.ran, blocks: run.blocks } satisfies CacheTransfer;
    }

    async #importCache(context: Koa.Context): Promise<void> {
        const transfer = transferSchema.safeParse(await readJson(context));
        if (!transfer.success) {
            sendProblem(context, 400, "bad-cache", "The body is not an exported KV cache. Send an export unchanged.");
            return;
        }
        this.#cache.add(transfer.data.version, transfer.data.blocks);
        context.status = 204;
    }

    /** Returns a load report that is at most `loadLagMilliseconds` old. */
    #getReport(): LoadReport {
        const { loadLagMilliseconds } = this.#conditions.get();
        if (systemClock.wall() - this.#lastReport.measuredAt >= loadLagMilliseconds) {
            this.#lastReport = this.#measureLoad();
        }
        return this.#lastReport;
    }

    #measureLoad(): LoadReport {
        const { name, maximumRunning, leaving, lie } = this.#conditions.get();
        return {
            upstream: name,
            measuredAt: systemClock.wall(),
            running: lie.running ?? this.#batch.getRunningCount(),
            waiting: lie.waiting ?? this.#batch.getWaitingCount(),
            capacity: lie.capacity ?? maximumRunning,
            versions: this.#versions.get(),
            leaving,
        };
    }
}

/** Options of sending a stream. */
interface StreamOptions {
    /** Identifier of the event after which sending starts. */
    readonly after: number;
    readonly readerLagMilliseconds: number;
}

/** Sends a stream's events after the one identified by `options.after`, until the stream ends. */
function sendStream(context: Koa.Context, stream: AnswerStream, options: StreamOptions): void {
    const { res: response } = context;
    let lastSentId = options.after;
    context.respond = false;
    response.statusCode = 200;
    response.setHeader("Content-Type", "text/event-stream");
    response.setHeader("Cache-Control", "no-store");
    const send = (): void => {
        const events = stream.getEventsAfter(lastSentId);
        lastSentId += events.length;
        if (events.length > 0) {
            response.write(events.join(""));
        }
        if (stream.isClosed()) {
            unsubscribe();
            endStream(response, stream);
        }
    };
    const unsubscribe = stream.addReader(send);
    response.once("close", () => setTimeout(unsubscribe, options.readerLagMilliseconds).unref());
    response.flushHeaders();
    send();
}

/** Ends a response. An unfinished stream closes the connection, so that no reader takes a partial answer for a complete one. */
function endStream(response: ServerResponse, stream: AnswerStream): void {
    if (stream.getState() === "finished") {
        response.end();
        return;
    }
    response.destroy();
}
