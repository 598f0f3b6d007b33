/**
 * Creates the list of addresses that callers should use.
 */
import type { Member } from "../membership/index.js";

/** Options of the address document. */
export interface AddressDocumentOptions {
    /** How long a caller may cache the document, in seconds. */
    readonly keepSeconds: number;
    readonly getMembers: () => readonly Member[];
    /** Returns the port on which an entry serves callers. */
    readonly getCallerPort: (member: Member) => number;
}

/** Represents one address for callers. */
export interface CallerAddress {
    readonly url: string;
    readonly failureDomain: string;
}

/** Represents the response to `GET /v1/addresses`. */
export interface AddressDocument {
    /** Addresses in the order in which a caller should try them. */
    readonly addresses: readonly CallerAddress[];
    readonly keepSeconds: number;
}

/**
 * Creates the document for one caller. The order is random for each caller, so that callers spread over the entries.
 * Neighbours in the order are in different failure domains, so that a caller whose first address is lost with its
 * failure domain does not try another address of that domain next.
 * @param options - Options of the document.
 */
export function createAddressDocument(options: AddressDocumentOptions): AddressDocument {
    const aliveMembers = options.getMembers().filter(member => member.state === "alive");
    const addresses: CallerAddress[] = [];
    for (const member of spreadOverDomains(shuffle(aliveMembers))) {
        addresses.push({
            url: `http://${member.address}:${options.getCallerPort(member)}`,
            failureDomain: member.failureDomain,
        });
    }
    return { addresses, keepSeconds: options.keepSeconds };
}

function spreadOverDomains(members: readonly Member[]): readonly Member[] {
    const domains = new Map<string, Member[]>();
    for (const member of members) {
        const list = domains.get(member.failureDomain);
        if (list === undefined) {
            domains.set(member.failureDomain, [member]);
        }
        else {
            list.push(member);
        }
    }
    const ordered: Member[] = [];
    while (ordered.length < members.length) {
        for (const list of domains.values()) {
            const member = list.shift();
            if (member !== undefined) {
                ordered.push(member);
            }
        }
    }
    return ordered;
}

function shuffle(members: readonly Member[]): readonly Member[] {
    const shuffled = [...members];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
        const other = Math.floor(Math.random() * (index + 1));
        [shuffled[index], shuffled[other]] = [shuffled[other], shuffled[index]];
    }
    return shuffled;
}
