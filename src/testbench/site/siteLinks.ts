/**
 * The directed links of a site: routes of the fault-injecting proxy, named `FROM>TO`.
 */
import { callJson } from "../../caller/index.js";
import { setFaults } from "../standinControl.js";

/** What links are made from. */
export interface SiteLinksOptions {
    /** Gets where the proxy is controlled. */
    readonly getProxyAddress: () => string;
    /** The IP number that routes listen at. */
    readonly host: string;
    /** Routes listen above this port. */
    readonly port: number;
}

/** Opens links and switches their faults. */
export class SiteLinks {
    readonly #options: SiteLinksOptions;
    #count = 0;

    constructor(options: SiteLinksOptions) {
        this.#options = options;
    }

    /**
     * Opens a link, unless it is open already.
     * @param from - Who uses it.
     * @param to - Whom it leads to.
     * @param target - Where that one listens.
     * @returns Where the link listens.
     */
    async add(from: string, to: string, target: string): Promise<string> {
        const { getProxyAddress, host, port } = this.#options;
        const name = getLinkName(from, to);
        const existing =
            (await callJson<Record<string, string>>({ address: getProxyAddress(), path: "/routes" }))[name];
        if (existing !== undefined) {
            return existing;
        }
        this.#count += 1;
        const { listen } = await callJson<{ listen: string; }>({
            address: getProxyAddress(),
            path: `/routes/${encodeURIComponent(name)}`,
            method: "PUT",
            body: { listen: `${host}:${port + this.#count}`, target },
        });
        return listen;
    }

    /**
     * Switches faults of a link.
     * @param from - Who uses it.
     * @param to - Whom it leads to.
     * @param faults - Faults as the proxy knows them.
     */
    async setFaults(from: string, to: string, faults: object): Promise<void> {
        await setFaults(this.#options.getProxyAddress(), { route: getLinkName(from, to), ...faults });
    }
}

function getLinkName(from: string, to: string): string {
    return `${from}>${to}`;
}
