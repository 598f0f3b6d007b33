/**
 * Rendezvous hashing: each entry ranks all runners by a hash of both names, so that a change of one runner moves
 * one place in a subset and leaves the rest alone.
 */
import { createHash } from "node:crypto";

const rankBytes = 6;

/**
 * Ranks a candidate for a chooser; the greatest ranks win.
 * @param chooser - Key of the one that chooses.
 * @param candidate - Key of the one to be chosen.
 */
export function getRank(chooser: string, candidate: string): number {
    return createHash("md5").update(chooser).update("\n").update(candidate).digest().readUIntBE(0, rankBytes);
}

/**
 * Ranks a candidate from 0 (included) to 1 (excluded).
 * @param chooser - Key of the one that chooses.
 * @param candidate - Key of the one to be chosen.
 */
export function getUnitRank(chooser: string, candidate: string): number {
    return getRank(chooser, candidate) / 2 ** (8 * rankBytes);
}
