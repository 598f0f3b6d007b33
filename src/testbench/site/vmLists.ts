/**
 * Manages the VM lists of a site: the platform's list, and on a site with proxied links one list for each entry, which
 * contains the addresses of the links to the other VMs.
 */
import { callJson } from "../../caller/index.js";
import type { Vm } from "../../world/index.js";
import type { SiteLinks } from "./siteLinks.js";

/** Options of the VM lists. */
export interface VmListsOptions {
    /** Returns the address of the platform's list. */
    readonly getPlatformListAddress: () => string;
    readonly links: SiteLinks;
}

/** Stores the VMs of a site and publishes them on its lists. */
export class VmLists {
    readonly #options: VmListsOptions;
    readonly #vms = new Map<string, Vm>();
    readonly #entryListAddresses = new Map<string, string>();

    constructor(options: VmListsOptions) {
        this.#options = options;
    }

    /** Returns the VM with an identifier, or throws when there is none. */
    getVmOrThrow(id: string): Vm {
        const vm = this.#vms.get(id);
        if (vm === undefined) {
            throw new Error(`There is no VM ${id}; there are ${[...this.#vms.keys()].join(", ")}.`);
        }
        return vm;
    }

    /** Returns the address of the list that an entry reads. */
    getListAddress(entry: string): string {
        return this.#entryListAddresses.get(entry) ?? this.#options.getPlatformListAddress();
    }

    /**
     * Adds an entry's own list and fills it with all current VMs.
     * @param entry - Identifier of the entry.
     * @param address - Address of the list.
     */
    async addEntryList(entry: string, address: string): Promise<void> {
        this.#entryListAddresses.set(entry, address);
        for (const vm of this.#vms.values()) {
            await this.#putIntoEntryList(entry, address, vm);
        }
    }

    /** Adds a VM to all lists. */
    async add(vm: Vm): Promise<void> {
        this.#vms.set(vm.id, vm);
        await putVm(this.#options.getPlatformListAddress(), vm);
        for (const [entry, list] of this.#entryListAddresses) {
            await this.#putIntoEntryList(entry, list, vm);
        }
    }

    /** Removes a VM from all lists and forgets it. */
    async remove(id: string): Promise<void> {
        await this.setState(id, "gone");
        this.#vms.delete(id);
    }

    /**
     * Changes the state of a VM on all lists.
     * @param id - Identifier of the VM.
     * @param state - `live`, `leaving`, or `gone` to remove the VM from the lists.
     */
    async setState(id: string, state: "live" | "leaving" | "gone"): Promise<void> {
        if (state === "live") {
            await this.add(this.getVmOrThrow(id));
            return;
        }
        for (const address of [this.#options.getPlatformListAddress(), ...this.#entryListAddresses.values()]) {
            await (state === "gone"
                ? callJson({ address, path: `/vms/${id}`, method: "DELETE" })
                : callJson({ address, path: `/vms/${id}/leaving`, method: "POST" }));
        }
    }

    async #putIntoEntryList(entry: string, listAddress: string, vm: Vm): Promise<void> {
        if (vm.id === entry) {
            await putVm(listAddress, vm);
            return;
        }
        const target = `${vm.address}:${vm.role === "entry" ? vm.peerPort : vm.port}`;
        const linkAddress = splitAddress(await this.#options.links.add(entry, vm.id, target));
        // An entry calls other entries only at their peer port, so the port for callers is not redirected.
        await putVm(
            listAddress,
            vm.role === "entry"
                ? { ...vm, address: linkAddress.host, peerPort: linkAddress.port }
                : { ...vm, address: linkAddress.host, port: linkAddress.port },
        );
    }
}

async function putVm(listAddress: string, vm: Vm): Promise<void> {
    await callJson({ address: listAddress, path: `/vms/${vm.id}`, method: "PUT", body: vm });
}

function splitAddress(address: string): { readonly host: string; readonly port: number; } {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
