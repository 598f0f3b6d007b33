/**
 * The form of a bill in memory: one string without field names.
 *
 * In an outage of an hour, an entry holds tens of thousands of bills and as many replicas. As objects, they would take
 * several times the memory, and the process would run out of it before it reaches the limit at which it refuses work.
 */
import type { Bill, BillLine } from "./bill.js";

type PackedLine = readonly [string, number, number, number, number];
/** JSON has no `undefined`, so the session is an array of one element or none. */
type PackedSession = readonly [string] | readonly [];
type PackedFields = readonly [string, string, string, PackedSession, number, number, string, ...PackedLine[]];

/** The packed form of a bill, without the request identifier, which is its key in memory. */
export type PackedBill = string & { readonly packed: unique symbol; };

/**
 * Packs a bill.
 * @param bill - The bill.
 */
export function packBill(bill: Bill): PackedBill {
    const { workspace, application, requestClass, session, total, answeredAt, entry, lines } = bill;
    const fields: PackedFields = [
        workspace,
        application,
        requestClass,
        session === undefined ? [] : [session],
        total,
        answeredAt,
        entry,
        ...lines.map(packLine),
    ];
    return JSON.stringify(fields) as PackedBill;
}

/**
 * Unpacks a bill.
 * @param requestId - The request of the bill.
 * @param packed - The result of `packBill`.
 */
export function unpackBill(requestId: string, packed: PackedBill): Bill {
    const [workspace, application, requestClass, session, total, answeredAt, entry, ...lines] = JSON.parse(
        packed,
    ) as PackedFields;
    return {
        requestId,
        workspace,
        application,
        requestClass,
        ...session.length === 0 ? {} : { session: session[0] },
        lines: lines.map(unpackLine),
        total,
        answeredAt,
        entry,
    };
}

function packLine({ version, inputTokens, cachedTokens, outputTokens, cost }: BillLine): PackedLine {
    return [version, inputTokens, cachedTokens, outputTokens, cost];
}

function unpackLine([version, inputTokens, cachedTokens, outputTokens, cost]: PackedLine): BillLine {
    return { version, inputTokens, cachedTokens, outputTokens, cost };
}
