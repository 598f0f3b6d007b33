/**
 * Reads the rate that an answer states.
 */
import { unlimitedRate } from "./rateRecord.js";

/** Statuses from here on are failures. They may come without a header that successes carry. */
const minFailureStatus = 400;

/**
 * Reads the rate that an answer states.
 * @param header - The value of the header that states a rate, if the answer has it.
 * @param status - The answer's HTTP status.
 * @returns Requests a second; `unlimitedRate` if a success states none; undefined if the answer says nothing that is certain.
 */
export function readStatedRate(header: string | undefined, status: number): number | undefined {
    if (header === undefined) {
        return status < minFailureStatus ? unlimitedRate : undefined;
    }
    const rate = header.trim() === "" ? Number.NaN : Number(header);
    return Number.isFinite(rate) && rate >= 0 ? rate : undefined;
}
