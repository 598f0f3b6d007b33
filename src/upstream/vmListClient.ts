/**
 * Client of the platform's VM list.
 */
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import { Failure, readDocument } from "../common/index.js";
import type { Vm } from "../world/index.js";

const vmSchema = z.object({
    id: z.string().min(1),
    address: z.string(),
    port: z.number().int(),
    role: z.enum(["entry", "runner", "service"]),
    pool: z.string(),
    failureDomain: z.string(),
    region: z.string(),
    state: z.enum(["live", "leaving"]),
    peerPort: z.number().int().optional(),
});

const listSchema = z.object({ vms: z.array(vmSchema) });

/** A VM list with its entity tag. */
interface TaggedList {
    readonly tag: string;
    readonly vms: readonly Vm[];
}

/** Options of a VM list client. */
export interface VmListClientOptions {
    readonly url: string;
    readonly dispatcher: Dispatcher;
    readonly timeoutMilliseconds: number;
}

/** Reads the VM list. */
export class VmListClient {
    readonly #url: string;
    readonly #dispatcher: Dispatcher;
    readonly #timeout: number;
    #cached: TaggedList | undefined;

    constructor(options: VmListClientOptions) {
        this.#url = options.url;
        this.#dispatcher = options.dispatcher;
        this.#timeout = options.timeoutMilliseconds;
    }

    /**
     * Returns all VMs of the site, with the delay of the platform's list. Returns the same array while the list is unchanged.
     * Reading the complete list of thousands of VMs every second would exceed the bandwidth for control traffic many times.
     */
    async getVms(): Promise<Result<readonly Vm[], Failure>> {
        try {
            const response = await request(`${this.#url}/vms`, {
                dispatcher: this.#dispatcher,
                headersTimeout: this.#timeout,
                bodyTimeout: this.#timeout,
                headers: this.#cached === undefined ? {} : { "if-none-match": this.#cached.tag },
            });
            if (response.statusCode === 304 && this.#cached !== undefined) {
                await response.body.dump();
                return ok(this.#cached.vms);
            }
            if (response.statusCode !== 200) {
                await response.body.dump();
                return err(createFailure(`it answered with status ${response.statusCode}`));
            }
            const parsed = listSchema.safeParse(JSON.parse(await readDocument(response.body)));
            if (!parsed.success) {
                return err(createFailure(z.prettifyError(parsed.error)));
            }
            const { vms } = parsed.data;
            const tag = response.headers.etag;
            this.#cached = typeof tag === "string" ? { tag, vms } : undefined;
            return ok(vms);
        }
        catch (error) {
            return err(createFailure(error instanceof Error ? error.message : String(error)));
        }
    }
}

function createFailure(reason: string): Failure {
    return new Failure({
        kind: "unavailable",
        message: `The VM list could not be read: ${reason}.`,
        remedy: "Continue with the list that was read last.",
    });
}
