/**
 * Conditions of a stand-in: its initial settings, and what `POST /faults` changes later.
 * Both use one schema, so that every setting is also a fault that a test can switch on and off.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";

/** A number of at least 0 in an INI file, an argument or JSON. */
export const nonNegativeNumber = z.coerce.number().min(0);

/** A number from 0 to 1. */
export const probability = z.coerce.number().min(0).max(1);

/** A boolean in an INI file, an argument or JSON. */
export const flag = z.union([z.boolean(), z.stringbool()]);

/** A list of strings. In text form the members are separated by commas. */
export const stringList = z.union([
    z.array(z.string()),
    z.string().transform(text => text.split(",").map(member => member.trim()).filter(member => member !== "")),
]);

/** Conditions that every stand-in with an HTTP API supports. */
export const commonConditions = {
    seed: z.coerce.number().int().default(1),
    /** `answer` answers every request with 503, `drop` closes each connection without an answer. */
    outage: z.enum(["none", "answer", "drop"]).default("none"),
    /** Delay of each request before it is handled. */
    delayMilliseconds: nonNegativeNumber.default(0),
    /** Also listens on a second port, for callers with a certificate issued by the authority. */
    tls: z.strictObject({
        /** Added to the first port to get the second port. */
        portOffset: z.coerce.number().int().min(1),
        certificate: z.string(),
        key: z.string(),
        authority: z.string(),
    }).optional(),
};

/** Conditions that all stand-ins have in common. */
export interface CommonConditions {
    readonly seed: number;
    readonly outage: "none" | "answer" | "drop";
    readonly delayMilliseconds: number;
    readonly tls?: TlsFiles | undefined;
}

/** Certificate files of a stand-in, and the offset of the port that uses them. */
export interface TlsFiles {
    readonly portOffset: number;
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}

/** Stores a stand-in's conditions, validates changes and applies them. */
export class Conditions<Values> {
    readonly #schema: z.ZodType<Values>;
    #current: Values;

    /**
     * @param schema - A strict object schema in which every key has a default.
     * @param initial - Initial settings.
     */
    constructor(schema: z.ZodType<Values>, initial: unknown) {
        this.#schema = schema;
        const parsed = this.#parse(initial);
        if (parsed.isErr()) {
            throw parsed.error;
        }
        this.#current = parsed.value;
    }

    /** Returns the conditions in force. */
    get(): Values {
        return this.#current;
    }

    /**
     * Changes some conditions and leaves the others as they are.
     * @param change - Keys with their new values.
     */
    change(change: object): Result<Values, Failure> {
        return this.#parse({ ...this.#current, ...change }).map(values => {
            this.#current = values;
            return values;
        });
    }

    #parse(values: unknown): Result<Values, Failure> {
        const parsed = this.#schema.safeParse(values);
        if (parsed.success) {
            return ok(parsed.data);
        }
        return err(
            new Failure({
                kind: "invalid-input",
                message: `Unknown or invalid conditions: ${z.prettifyError(parsed.error)}.`,
                remedy: "Look up the keys and their current values with GET /faults.",
            }),
        );
    }
}
