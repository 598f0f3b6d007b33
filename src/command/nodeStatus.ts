/**
 * Fetches the status of a site's entries, which are found in the VM list.
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import { Failure } from "../common/index.js";

const timeoutMilliseconds = 2_000;
const vmSchema = z.object({
    id: z.string(),
    address: z.string(),
    role: z.string(),
    state: z.string(),
    failureDomain: z.string(),
    peerPort: z.number().optional(),
    operatorPort: z.number().optional(),
});
const vmListSchema = z.object({ vms: z.array(vmSchema) });
const statusSchema = z.object({
    configurationOffset: z.number(),
    configurationAgeMilliseconds: z.number().optional(),
    ready: z.boolean().optional(),
    ownProtocol: z.number().optional(),
});

/** Represents the reported status of one entry. */
export interface NodeStatus {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly state: string;
    /** The offset of the next record that the entry folds; undefined if it did not answer. */
    readonly configurationOffset: number | undefined;
    readonly configurationAgeMilliseconds: number | undefined;
    readonly ready: boolean;
    /** The latest protocol that the entry reads; undefined if it reports none, as the first release does. */
    readonly protocol: number | undefined;
}

/**
 * Fetches the status of every entry in the VM list.
 * @param vmListUrl - URL of the VM list.
 * @param operatorPort - The entries' port for operators, used if the VM list contains none.
 */
export async function fetchNodeStatuses(
    vmListUrl: string,
    operatorPort: number | undefined,
): Promise<Result<readonly NodeStatus[], Failure>> {
    try {
        const { vms } = vmListSchema.parse(await fetchJson(new URL("/vms", vmListUrl).href));
        const entries = vms.filter(vm => vm.role === "entry");
        return ok(await Promise.all(entries.map(vm => fetchNodeStatus(vm, operatorPort))));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "unavailable",
                message: `The VM list at ${vmListUrl} does not answer.`,
                remedy: "Check --vm-list or the site file, or omit --wait.",
                cause,
            }),
        );
    }
}

async function fetchNodeStatus(vm: z.infer<typeof vmSchema>, operatorPort: number | undefined): Promise<NodeStatus> {
    const port = vm.operatorPort ?? operatorPort ?? (vm.peerPort ?? 0) + 1;
    const address = `${vm.address}:${port}`;
    const vmFields = { id: vm.id, address, failureDomain: vm.failureDomain, state: vm.state };
    try {
        const status = statusSchema.parse(await fetchJson(`http://${address}/status`));
        const { configurationOffset, configurationAgeMilliseconds, ready, ownProtocol: protocol } = status;
        return { ...vmFields, configurationOffset, configurationAgeMilliseconds, ready: ready ?? true, protocol };
    }
    catch {
        return {
            ...vmFields,
            configurationOffset: undefined,
            configurationAgeMilliseconds: undefined,
            ready: false,
            protocol: undefined,
        };
    }
}

/**
 * Fetches a path other than the status from every entry that answers.
 * @param nodes - The entries.
 * @param path - The path, from `/`.
 * @returns The responses by entry, without the entries that did not answer.
 */
export async function fetchFromNodes(
    nodes: readonly NodeStatus[],
    path: string,
): Promise<ReadonlyMap<string, unknown>> {
    const responses = new Map<string, unknown>();
    await Promise.all(nodes.map(async node => {
        try {
            responses.set(node.id, await fetchJson(`http://${node.address}${path}`));
        }
        catch {
            // An entry that does not answer is omitted; `rattanlock status` shows it.
        }
    }));
    return responses;
}

async function fetchJson(url: string): Promise<unknown> {
    const response = await request(url, { headersTimeout: timeoutMilliseconds, bodyTimeout: timeoutMilliseconds });
    if (response.statusCode !== 200) {
        await response.body.dump();
        throw new Error(`${url} answered ${response.statusCode}`);
    }
    return response.body.json();
}
