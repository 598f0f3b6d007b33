/**
 * Stand-in for the platform's VM list.
 */
import type Router from "@koa/router";
import type Koa from "koa";
import { createHash } from "node:crypto";
import { z } from "zod";
import { systemClock } from "../common/index.js";
import type { Vm } from "../world/index.js";
import type { Address } from "./address.js";
import { commonConditions, Conditions, nonNegativeNumber } from "./conditions.js";
import { readJson, sendProblem, StandinServer } from "./standinServer.js";

const vmSchema = z.object({
    id: z.string(),
    address: z.string(),
    port: z.coerce.number(),
    role: z.enum(["entry", "runner", "service"]),
    pool: z.string().default(""),
    failureDomain: z.string(),
    region: z.string().default(""),
    state: z.enum(["live", "leaving"]).default("live"),
    peerPort: z.coerce.number().optional(),
});

const schema = z.strictObject({
    ...commonConditions,
    /** How far the answers lag behind the current state. */
    lagMilliseconds: nonNegativeNumber.default(0),
    /** Initial VMs by identifier. */
    vm: z.record(z.string(), vmSchema.omit({ id: true })).default({}),
});

interface Snapshot {
    readonly time: number;
    readonly vms: ReadonlyMap<string, Vm>;
}

/**
 * A VM list whose answers lag behind its current state. `PUT` and `DELETE /vms/{id}` and `POST /vms/{id}/leaving` change
 * the current state.
 */
export class VmList {
    readonly #conditions: Conditions<z.infer<typeof schema>>;
    readonly #server: StandinServer;
    readonly #journal: object[] = [];
    /** The first snapshot is visible whatever the lag, so that the list is complete from the start. */
    #snapshots: Snapshot[];

    constructor(listen: Address, settings: object = {}) {
        this.#conditions = new Conditions(schema, settings);
        const vms = new Map<string, Vm>();
        for (const [id, vm] of Object.entries(this.#conditions.get().vm)) {
            vms.set(id, { id, ...vm });
        }
        this.#snapshots = [{ time: 0, vms }];
        this.#server = new StandinServer({
            listen,
            getConditions: () => this.#conditions.get(),
            changeConditions: change => this.#conditions.change(change),
            getJournal: () => this.#journal,
            addRoutes: router => this.#addRoutes(router),
            isControlRequest: context => context.method !== "GET",
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

    /** Adds a VM or replaces the VM with the same identifier. */
    set(vm: Vm): void {
        this.#addSnapshot("set", vm.id, new Map(this.#getCurrentVms()).set(vm.id, vm));
    }

    /** Removes a VM. */
    remove(id: string): void {
        const vms = new Map(this.#getCurrentVms());
        vms.delete(id);
        this.#addSnapshot("remove", id, vms);
    }

    #addRoutes(router: Router): void {
        router.get("/vms", context => {
            const { time, vms } = this.#getVisibleSnapshot();
            const list = [...vms.values()];
            context.body = { time, vms: list };
            // The ETag does not include the time, which changes even when the list does not.
            context.etag = createHash("sha1").update(JSON.stringify(list)).digest("base64url");
            if (context.fresh) {
                context.status = 304;
            }
        });
        router.put("/vms/:id", context => this.#put(context, context.params.id));
        router.delete("/vms/:id", context => {
            this.remove(context.params.id);
            context.status = 204;
        });
        router.post("/vms/:id/leaving", context => this.#markLeaving(context, context.params.id));
    }

    async #put(context: Koa.Context, id: string): Promise<void> {
        const parsed = vmSchema.safeParse({ ...await readJson(context) as object, id });
        if (!parsed.success) {
            sendProblem(context, 400, "bad-vm", z.prettifyError(parsed.error));
            return;
        }
        this.set(parsed.data);
        context.status = 204;
    }

    #markLeaving(context: Koa.Context, id: string): void {
        const vm = this.#getCurrentVms().get(id);
        if (vm === undefined) {
            sendProblem(context, 404, "no-vm", `There is no VM ${id}. Add it with PUT /vms/${id}.`);
            return;
        }
        this.set({ ...vm, state: "leaving" });
        context.status = 204;
    }

    #getCurrentVms(): ReadonlyMap<string, Vm> {
        return this.#snapshots[this.#snapshots.length - 1].vms;
    }

    /** Returns the latest snapshot that is at least `lagMilliseconds` old, and removes the earlier ones. */
    #getVisibleSnapshot(): Snapshot {
        const visibleAt = systemClock.wall() - this.#conditions.get().lagMilliseconds;
        let index = this.#snapshots.length - 1;
        while (index > 0 && this.#snapshots[index].time > visibleAt) {
            index -= 1;
        }
        this.#snapshots = this.#snapshots.slice(index);
        return { time: visibleAt, vms: this.#snapshots[0].vms };
    }

    #addSnapshot(change: string, id: string, vms: ReadonlyMap<string, Vm>): void {
        const time = systemClock.wall();
        this.#journal.push({ change, id, time });
        this.#snapshots.push({ time, vms });
    }
}
