/**
 * Runs a ledger: follows the stream of bills, keeps the ledger, writes it to a file and answers HTTP.
 */
import Koa from "koa";
import type { Server } from "node:http";
import type { Journal } from "../events/index.js";
import type { FollowStream, StreamReader } from "../log/index.js";
import type { Bill } from "./bill.js";
import { billsStream } from "./bill.js";
import { Ledger, type LedgerLine, type WorkspaceTotal } from "./ledger.js";
import { LedgerFile } from "./ledgerFile.js";

/** After this long a stop closes connections that are still at work. */
const closeTimeoutMilliseconds = 1_000;
/** Request identifiers stay in memory for so long, by the log's time; older ones are looked up in the file. */
const defaultWindowMilliseconds = 24 * 3_600_000;

/** Options of a ledger's program. */
export interface LedgerProgramOptions {
    readonly follow: FollowStream;
    readonly journal: Journal;
    /** File to write bills to, and to go on from after a restart. */
    readonly out?: string;
    /** How long, by the log's time, billed requests are remembered outside the file. */
    readonly windowMilliseconds?: number;
    /** Where to answer `GET /bills` and `GET /totals`. */
    readonly listen?: { readonly host: string; readonly port: number; };
}

/** What `GET /totals` answers. */
export interface LedgerReport {
    /** The offset of the stream up to which the ledger goes. */
    readonly next: number;
    readonly requests: number;
    readonly repeats: number;
    readonly conflicts: number;
    /** How often bills expired from the log before the ledger read them. Above 0 the ledger is not whole. */
    readonly gaps: number;
    readonly workspaces: readonly WorkspaceTotal[];
}

/** A ledger that runs. */
export class LedgerProgram {
    readonly #options: LedgerProgramOptions;
    readonly #ledger: Ledger;
    readonly #file: LedgerFile | undefined;
    /** Kept only to be shown by `GET /bills`. */
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

    /** Begins to read, and to answer HTTP if wanted. */
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

    /** Ends reading, and closes the file and the server. */
    async stop(): Promise<void> {
        await this.#reader.stop();
        this.#file?.close();
        await this.#closeServer();
    }

    /** Lets answers under way end within a bound, so that whoever asks at that moment gets a whole list of bills. */
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
