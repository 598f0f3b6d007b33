/** Faults of the store in a soak test, and of the links to it. */
import type { RandomSource } from "../../../src/common/index.js";
import { FaultProxy } from "../../../src/standins/proxy/index.js";
import type { PlatformSite } from "../platformSite.js";
import type { StoreCopy } from "../standins/storeStandin.js";
import { draw, type SoakRecord, wait } from "./soakRecord.js";

const storePort = 7_010;
const proxyPort = 7_030;
/** Topics whose writers, the operator and the runners, write again what the store has lost. */
const writtenAgain = ["keyed.op", "keyed.servers"];

/** Options of the store of a soak test. */
export interface SoakStoreOptions {
    readonly site: PlatformSite;
    readonly random: RandomSource;
    readonly record: SoakRecord;
    readonly nodeCount: number;
}

/** Injects faults of the store and of the links to it. */
export class SoakStore {
    readonly #options: SoakStoreOptions;
    readonly #proxy: FaultProxy;
    #lastCopy: StoreCopy | undefined;

    constructor(options: SoakStoreOptions) {
        this.#options = options;
        this.#proxy = new FaultProxy({ host: `${options.site.prefix}.201`, port: 0 });
    }

    /** Starts the proxy with a link for each node. */
    async start(): Promise<void> {
        const { site, nodeCount } = this.#options;
        await this.#proxy.start();
        const target = { host: `${site.prefix}.200`, port: storePort };
        for (let index = 1; index <= nodeCount; index += 1) {
            await this.#proxy.addRoute(`store-${index}`, this.#getLink(index), target);
        }
    }

    /** Stops the proxy. */
    async stop(): Promise<void> {
        await this.#proxy.stop();
    }

    /** Returns the address at which a node reaches the store. */
    getAddress(index: number): string {
        const { host, port } = this.#getLink(index);
        return `${host}:${port}`;
    }

    /** Lets the link of a node fail. */
    async injectLinkFault(faultMilliseconds: number): Promise<void> {
        const { random, record, nodeCount } = this.#options;
        const route = `store-${1 + random.nextInteger(nodeCount)}`;
        const faults = draw(random, [
            { cut: true },
            { halfOpen: true },
            { delayMilliseconds: 300 },
            { oneWay: "from-target" },
            { oneWay: "to-target" },
            { freeze: true },
        ]);
        record.addFault(`link ${route}: ${JSON.stringify(faults)} for ${faultMilliseconds} ms`);
        (await this.#proxy.changeFaults({ route, ...faults }))._unsafeUnwrap();
        await wait(faultMilliseconds);
        const noFaults = { cut: false, halfOpen: false, delayMilliseconds: 0, oneWay: "none", freeze: false };
        (await this.#proxy.changeFaults({ route, ...noFaults }))._unsafeUnwrap();
    }

    /** Lets the store fail. */
    async injectFault(faultMilliseconds: number): Promise<void> {
        const { site: { store }, random, record } = this.#options;
        const fault = draw(random, ["busy", "silent", "loses-answers"] as const);
        record.addFault(`store ${fault} for ${faultMilliseconds} ms`);
        store.fault = fault;
        await wait(faultMilliseconds);
        store.fault = "well";
    }

    /** Loses what was written within a time, and the store is away for as long. A copy may be the one of an earlier return. */
    async goBack(faultMilliseconds: number): Promise<void> {
        const { site: { store }, random, record } = this.#options;
        const copy = this.#lastCopy !== undefined && random.nextInteger(2) === 0
            ? this.#lastCopy
            : store.takeCopy();
        this.#lastCopy = copy;
        await wait(faultMilliseconds);
        record.addFault(`store away for ${faultMilliseconds} ms`);
        store.fault = "silent";
        await wait(faultMilliseconds);
        record.addFault("store back from an older copy");
        store.restore(copy, writtenAgain);
        store.fault = "well";
    }

    /** Removes the store's history. */
    compact(): void {
        const { site: { store }, record } = this.#options;
        record.addFault("history of the store removed");
        store.compact("keyed.op");
        store.compact("keyed.servers");
    }

    #getLink(index: number): { readonly host: string; readonly port: number; } {
        return { host: `${this.#options.site.prefix}.${50 + index}`, port: proxyPort };
    }
}
