/**
 * Asks the entries of a site for their status, by way of the VM list.
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
const listSchema = z.object({ vms: z.array(vmSchema) });
const statusSchema = z.object({
    configurationOffset: z.number(),
    configurationAgeMilliseconds: z.number().optional(),
    ready: z.boolean().optional(),
    ownProtocol: z.number().optional(),
});

/** What one entry said. */
export interface NodeStatus {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly state: string;
    /** The offset that the entry folds next; undefined when it did not answer. */
    readonly configurationOffset: number | undefined;
    readonly configurationAgeMilliseconds: number | undefined;
    readonly ready: boolean;
    /** The newest protocol that the entry reads; undefined when it does not say, as the oldest release does not. */
    readonly protocol: number | undefined;
}

/**
 * Asks every entry on the VM list.
 * @param vmListUrl - The VM list.
 * @param operatorPort - Where entries listen for operators, when the list does not say so.
 */
export async function fetchNodeStatuses(
    vmListUrl: string,
    operatorPort: number | undefined,
): Promise<Result<readonly NodeStatus[], Failure>> {
    try {
        const { vms } = listSchema.parse(await fetchJson(new URL("/vms", vmListUrl).href));
        const entries = vms.filter(vm => vm.role === "entry");
        return ok(await Promise.all(entries.map(vm => fetchNodeStatus(vm, operatorPort))));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "unavailable",
                message: `The VM list at ${vmListUrl} does not answer.`,
                remedy: "Check --vm-list or the site file, or leave out --wait.",
                cause,
            }),
        );
    }
}

async function fetchNodeStatus(vm: z.infer<typeof vmSchema>, operatorPort: number | undefined): Promise<NodeStatus> {
    const port = vm.operatorPort ?? operatorPort ?? (vm.peerPort ?? 0) + 1;
    const address = `${vm.address}:${port}`;
    const known = { id: vm.id, address, failureDomain: vm.failureDomain, state: vm.state };
    try {
        const status = statusSchema.parse(await fetchJson(`http://${address}/status`));
        const { configurationOffset, configurationAgeMilliseconds, ready, ownProtocol: protocol } = status;
        return { ...known, configurationOffset, configurationAgeMilliseconds, ready: ready ?? true, protocol };
    }
    catch {
        return {
            ...known,
            configurationOffset: undefined,
            configurationAgeMilliseconds: undefined,
            ready: false,
            protocol: undefined,
        };
    }
}

/**
 * Asks every entry that answers for something else than its status.
 * @param nodes - The entries.
 * @param path - The path, from `/`.
 * @returns The answers of those that gave one, by entry.
 */
export async function fetchFromNodes(
    nodes: readonly NodeStatus[],
    path: string,
): Promise<ReadonlyMap<string, unknown>> {
    const answers = new Map<string, unknown>();
    await Promise.all(nodes.map(async node => {
        try {
            answers.set(node.id, await fetchJson(`http://${node.address}${path}`));
        }
        catch {
            // An entry that does not answer has no part in the result; `rattanlock status` shows it.
        }
    }));
    return answers;
}

async function fetchJson(url: string): Promise<unknown> {
    const response = await request(url, { headersTimeout: timeoutMilliseconds, bodyTimeout: timeoutMilliseconds });
    if (response.statusCode !== 200) {
        await response.body.dump();
        throw new Error(`${url} answered ${response.statusCode}`);
    }
    return response.body.json();
}
