/**
 * Creates stand-ins by their kind.
 */
import { Failure } from "../common/index.js";
import type { Address } from "./address.js";
import { ModelEngine } from "./engine/index.js";
import { LogService } from "./logService.js";
import { PlainService } from "./plainService.js";
import { FaultProxy } from "./proxy/index.js";
import { RatingService } from "./ratingService.js";
import { VmList } from "./vmList.js";
import { WeightStore } from "./weightStore.js";

/** A stand-in of any kind. */
export interface Standin {
    /** Starts listening and returns the address in use. */
    start(): Promise<Address>;
    /** Stops listening and closes all connections. */
    stop(): Promise<void>;
}

type Constructor = new(listen: Address, settings: object) => Standin;

const constructors: ReadonlyMap<string, Constructor> = new Map<string, Constructor>([
    ["log", LogService],
    ["vm-list", VmList],
    ["weight-store", WeightStore],
    ["rating", RatingService],
    ["engine", ModelEngine],
    ["service", PlainService],
    ["proxy", FaultProxy],
]);

/**
 * Creates a stand-in.
 * @param kind - Kind of the stand-in, such as `engine`.
 * @param listen - Address to listen at.
 * @param settings - Initial conditions.
 */
export function createStandin(kind: string, listen: Address, settings: object = {}): Standin {
    const constructor = constructors.get(kind);
    if (constructor === undefined) {
        throw new Failure({
            kind: "invalid-input",
            message: `There is no stand-in of kind "${kind}".`,
            remedy: `Take one of ${[...constructors.keys()].join(", ")}.`,
        });
    }
    return new constructor(listen, settings);
}
