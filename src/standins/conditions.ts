/**
 * The conditions that a stand-in works under: its settings at the start, and what `POST /faults` changes later.
 * One schema serves both, so that every setting is also a fault that a test can switch on and off.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";

/** A number in an INI file, an argument or JSON. */
export const amount = z.coerce.number().min(0);

/** A number from 0 to 1. */
export const probability = z.coerce.number().min(0).max(1);

/** A switch in an INI file, an argument or JSON. */
export const flag = z.union([z.boolean(), z.stringbool()]);

/** A list; as text its members are separated by commas. */
export const list = z.union([
    z.array(z.string()),
    z.string().transform(text => text.split(",").map(member => member.trim()).filter(member => member !== "")),
]);

/** Conditions that every stand-in with an HTTP face knows. */
export const commonConditions = {
    seed: z.coerce.number().int().default(1),
    /** `answer` answers 503 to everything, `drop` closes each connection without an answer. */
    outage: z.enum(["none", "answer", "drop"]).default("none"),
    /** How long each request waits before anything happens. */
    delayMilliseconds: amount.default(0),
    /** Listens at a second port as well, for callers with a certificate of the authority. */
    tls: z.strictObject({
        /** How far above the first port the second one is. */
        portOffset: z.coerce.number().int().min(1),
        certificate: z.string(),
        key: z.string(),
        authority: z.string(),
    }).optional(),
};

/** What every stand-in's conditions hold. */
export interface CommonConditions {
    readonly seed: number;
    readonly outage: "none" | "answer" | "drop";
    readonly delayMilliseconds: number;
    readonly tls?: TlsFiles | undefined;
}

/** Certificate files of a stand-in, and where it uses them. */
export interface TlsFiles {
    readonly portOffset: number;
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}

/** Holds a stand-in's conditions and changes them on command. */
export class Conditions<Values> {
    readonly #schema: z.ZodType<Values>;
    #current: Values;

    /**
     * @param schema - A strict object schema in which every key has a default.
     * @param initial - Settings at the start.
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
     * Changes some conditions and leaves the others.
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
                message: `Unknown or wrong conditions: ${z.prettifyError(parsed.error)}.`,
                remedy: "Ask GET /faults for the keys and their present values.",
            }),
        );
    }
}
