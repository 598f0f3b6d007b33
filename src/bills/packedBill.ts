/**
 * A bill as it waits in memory: one text without the names of its fields.
 *
 * In an outage of an hour an entry keeps tens of thousands of bills and copies of as many. As objects they take several times the
 * room, and the process would run out of memory before it reaches the bound at which it refuses work.
 */
import type { Bill, BillLine } from "./bill.js";

type PackedLine = readonly [string, number, number, number, number];
/** JSON has no `undefined`, so the session is a list of one or none. */
type PackedSession = readonly [string] | readonly [];
type PackedFields = readonly [string, string, string, PackedSession, number, number, string, ...PackedLine[]];

/** The text of a bill; the request identifier, under which it is kept, is not in it. */
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
 * Reads a bill back.
 * @param requestId - The request that it is for.
 * @param packed - What `packBill` returned.
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
