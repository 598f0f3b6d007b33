/**
 * Manages the directed links of a site, which are routes of the fault-injecting proxy named `FROM>TO`.
 */
import { callJson } from "../../caller/index.js";
import { setFaults } from "../standinControl.js";

/** Options of the links. */
export interface SiteLinksOptions {
    /** Returns the control address of the proxy. */
    readonly getProxyAddress: () => string;
    /** IP address that the routes listen on. */
    readonly host: string;
    /** The routes listen on the ports above this one. */
    readonly port: number;
}

/** Creates links and sets their faults. */
export class SiteLinks {
    readonly #options: SiteLinksOptions;
    #linkCount = 0;

    constructor(options: SiteLinksOptions) {
        this.#options = options;
    }

    /**
     * Creates a link, unless it already exists.
     * @param from - Name of the VM that uses the link.
     * @param to - Name of the destination.
     * @param target - Listen address of the destination.
     * @returns The listen address of the link.
     */
    async add(from: string, to: string, target: string): Promise<string> {
        const { getProxyAddress, host, port } = this.#options;
        const name = getLinkName(from, to);
        const existing =
            (await callJson<Record<string, string>>({ address: getProxyAddress(), path: "/routes" }))[name];
        if (existing !== undefined) {
            return existing;
        }
        this.#linkCount += 1;
        const { listen } = await callJson<{ listen: string; }>({
            address: getProxyAddress(),
            path: `/routes/${encodeURIComponent(name)}`,
            method: "PUT",
            body: { listen: `${host}:${port + this.#linkCount}`, target },
        });
        return listen;
    }

    /**
     * Sets faults of a link.
     * @param from - Name of the VM that uses the link.
     * @param to - Name of the destination.
     * @param faults - Faults in the proxy's format.
     */
    async setFaults(from: string, to: string, faults: object): Promise<void> {
        await setFaults(this.#options.getProxyAddress(), { route: getLinkName(from, to), ...faults });
    }
}

function getLinkName(from: string, to: string): string {
    return `${from}>${to}`;
}
