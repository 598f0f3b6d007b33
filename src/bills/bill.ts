/**
 * Bills: one for each answered request, regardless of the number of attempts.
 */
import { z } from "zod";

const billSchema = z.object({
    requestId: z.string(),
    workspace: z.string(),
    application: z.string(),
    requestClass: z.string(),
    session: z.string().optional(),
    lines: z.array(z.object({
        version: z.string(),
        inputTokens: z.number(),
        cachedTokens: z.number(),
        outputTokens: z.number(),
        cost: z.number(),
    })),
    total: z.number(),
    answeredAt: z.number(),
    entry: z.string(),
});

/** @internal */
export const billsBodySchema = z.object({ bills: z.array(billSchema) });

/** The contribution of one version to an answer. */
export interface BillLine {
    readonly version: string;
    readonly inputTokens: number;
    /** Input tokens that were served from the engine's prefix cache. */
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** Cost in the site's currency. */
    readonly cost: number;
}

/** The bill of one request. */
export interface Bill {
    readonly requestId: string;
    readonly workspace: string;
    readonly application: string;
    readonly requestClass: string;
    readonly session?: string;
    readonly lines: readonly BillLine[];
    /** Total cost in the site's currency. */
    readonly total: number;
    /** Time of the answer in wall-clock milliseconds of the entry. */
    readonly answeredAt: number;
    /** The entry that answered the request. */
    readonly entry: string;
}

/** The stream of bills. */
export const billsStream = "bills";
/** Kind of records with bills. */
export const billsKind = "bills";
/** Format in which this program writes bills. */
export const billsFormat = 1;

/**
 * Parses a bill that a peer sent. Returns undefined if it is invalid.
 * @param text - The bill as JSON.
 */
export function parseBill(text: string): Bill | undefined {
    try {
        const parsed = billSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
