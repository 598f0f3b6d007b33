/**
 * Bills: one for each answered request, whatever it took to answer it.
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

/** What one version contributed to an answer. */
export interface BillLine {
    readonly version: string;
    readonly inputTokens: number;
    /** Input tokens that the engine took from its prefix cache. */
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** In the site's currency. */
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
    /** In the site's currency. */
    readonly total: number;
    /** Wall-clock milliseconds of the entry. */
    readonly answeredAt: number;
    /** The entry that answered. */
    readonly entry: string;
}

/** The stream that bills stand in. */
export const billsStream = "bills";
/** The kind of the records that carry bills. */
export const billsKind = "bills";
/** The format in which this version writes them. */
export const billsFormat = 1;

/**
 * Reads a bill that a peer sent.
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
