/**
 * Rendezvous hashing: each entry ranks all runners by a hash of both names, so that adding or removing one runner changes at most
 * one member of a subset.
 */
import { createHash } from "node:crypto";

const rankBytes = 6;

/**
 * Returns the rank of a candidate for a chooser. Higher ranks are preferred.
 * @param chooser - Key of the process that selects.
 * @param candidate - Key of the candidate.
 */
export function getRank(chooser: string, candidate: string): number {
    return createHash("md5").update(chooser).update("\n").update(candidate).digest().readUIntBE(0, rankBytes);
}

/**
 * Returns the rank of a candidate as a number from 0 (inclusive) to 1 (exclusive).
 * @param chooser - Key of the process that selects.
 * @param candidate - Key of the candidate.
 */
export function getUnitRank(chooser: string, candidate: string): number {
    return getRank(chooser, candidate) / 2 ** (8 * rankBytes);
}
