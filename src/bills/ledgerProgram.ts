/**
 * Runs a ledger: follows the stream of bills, folds it, writes it to a file and serves it over HTTP.
 */
import Koa from "koa";
import type { Server } from "node:http";
import type { Journal } from "../events/index.js";
import type { FollowStream, StreamReader } from "../log/index.js";
import type { Bill } from "./bill.js";
import { billsStream } from "./bill.js";
import { Ledger, type LedgerLine, type WorkspaceTotal } from "./ledger.js";
import { LedgerFile } from "./ledgerFile.js";

/** Timeout after which `stop` closes connections with requests in flight. */
const closeTimeoutMilliseconds = 1_000;
/** Request identifiers stay in memory for this time, by the log's time. Older ones are looked up in the file. */
const defaultWindowMilliseconds = 24 * 3_600_000;

/** Options of a ledger program. */
export interface LedgerProgramOptions {
    readonly follow: FollowStream;
    readonly journal: Journal;
    /** File for the bills, from which the ledger continues after a restart. */
    readonly out?: string;
    /** How long billed requests are retained in memory, by the log's time. */
    readonly windowMilliseconds?: number;
    /** Address that serves `GET /bills` and `GET /totals`. */
    readonly listen?: { readonly host: string; readonly port: number; };
}

/** Response of `GET /totals`. */
export interface LedgerReport {
    /** The next offset of the stream that the ledger reads. */
    readonly next: number;
    readonly requests: number;
    readonly repeats: number;
    readonly conflicts: number;
    /**
     * Number of gaps in which bills expired from the log before the ledger read them. Above 0, the ledger is
     * incomplete.
     */
    readonly gaps: number;
    readonly workspaces: readonly WorkspaceTotal[];
}

/** A ledger that follows the log. */
export class LedgerProgram {
    readonly #options: LedgerProgramOptions;
    readonly #ledger: Ledger;
    readonly #file: LedgerFile | undefined;
    /** Retained only for `GET /bills`. */
    readonly #bills: Bill[] = [];
    readonly #reader: StreamReader;
    #server: Server | undefined;

    constructor(options: LedgerProgramOptions) {
        this.#options = options;
        const file = options.out === undefined ? undefined : new LedgerFile(options.out);
        this.#file = file;
        this.#ledger = new Ledger({
            journal: options.journal,
            windowMilliseconds: file === undefined
                ? undefined
                : options.windowMilliseconds ?? defaultWindowMilliseconds,
            findOlder: file === undefined ? undefined : requestIds => file.find(requestIds),
        });
        this.#file?.restore(line => {
            this.#ledger.restore(line);
            this.#addToListing([line.bill]);
        });
        this.#reader = options.follow({
            stream: billsStream,
            from: this.#ledger.getNextOffset(),
            onEntry: entry => {
                const bills = this.#ledger.apply(entry);
                this.#file?.write(bills.map((bill): LedgerLine => ({ offset: entry.offset, time: entry.time, bill })));
                this.#addToListing(bills);
            },
            onGap: earliest => this.#ledger.handleGap(earliest),
        });
    }

    /** Starts reading, and serves HTTP if an address is configured. */
    async start(): Promise<void> {
        this.#reader.start();
        const { listen } = this.#options;
        if (listen !== undefined) {
            await new Promise<void>((resolve, reject) => {
                this.#server = this.#createApplication().listen(listen.port, listen.host, resolve);
                this.#server.once("error", reject);
            });
        }
    }

    /** Stops reading, and closes the file and the server. */
    async stop(): Promise<void> {
        await this.#reader.stop();
        this.#file?.close();
        await this.#closeServer();
    }

    /** Lets requests in flight finish within a timeout, so that their clients receive a complete list of bills. */
    async #closeServer(): Promise<void> {
        const server = this.#server;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => server.close(() => resolve()));
        const timer = setTimeout(() => server.closeAllConnections(), closeTimeoutMilliseconds);
        await closed;
        clearTimeout(timer);
    }

    /** Returns the totals. */
    getReport(): LedgerReport {
        return {
            next: this.#ledger.getNextOffset(),
            requests: this.#ledger.getSize(),
            ...this.#ledger.getCounts(),
            workspaces: this.#ledger.getTotals(),
        };
    }

    #addToListing(bills: readonly Bill[]): void {
        if (this.#options.listen !== undefined) {
            this.#bills.push(...bills);
        }
    }

    #createApplication(): Koa {
        const application = new Koa();
        application.use(context => {
            if (context.method === "GET" && context.path === "/bills") {
                context.body = { ...this.getReport(), bills: this.#bills };
            }
            else if (context.method === "GET" && context.path === "/totals") {
                context.body = this.getReport();
            }
            else if (context.method === "GET" && context.path === "/health") {
                context.body = { ready: true };
            }
        });
        return application;
    }
}
