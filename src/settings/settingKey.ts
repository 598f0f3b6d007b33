/**
 * Defines typed keys of settings. A key is the single source of its default, unit, documentation and validation.
 */
import { err, ok, type Result } from "neverthrow";

/** Represents one key of a settings section. */
export interface SettingKey<T> {
    /** The type of the value, as shown on the reference page. */
    readonly type: string;
    readonly description: string;
    /** The text that applies if the key is not set; undefined if there is no default. */
    readonly defaultText: string | undefined;
    /** Whether the key must be set. */
    readonly isRequired: boolean;
    /** An example value for error messages and the reference page. */
    readonly example: string;
    /** Parses a value. The error states what to write instead. */
    readonly parse: (text: string) => Result<T, string>;
}

/** Represents the keys of a section by name. */
export type SettingKeys = Readonly<Record<string, SettingKey<unknown>>>;

/** Represents a key's property name: `drain_timeout_ms` becomes `drainTimeoutMilliseconds`. */
export type PropertyName<Name extends string> = Name extends `${infer Head}_ms` ? `${PropertyName<Head>}Milliseconds`
    : Name extends `${infer Head}_s` ? `${PropertyName<Head>}Seconds`
    : Name extends `${infer Head}_${infer Tail}` ? `${Head}${Capitalize<PropertyName<Tail>>}`
    : Name;

/** Represents the values of a section, by property name. */
export type SettingValues<Keys extends SettingKeys> = {
    readonly [Name in keyof Keys & string as PropertyName<Name>]: Keys[Name] extends SettingKey<infer T> ? T : never;
};

/** Converts a key's name to its property name. */
export function getPropertyName(key: string): string {
    return key
        .replace(/_ms$/, "_milliseconds")
        .replace(/_s$/, "_seconds")
        .replace(/_(\w)/g, (...[, letter]) => String(letter).toUpperCase());
}

/** Options of a key, besides its type. */
export interface KeyOptions {
    readonly description: string;
    readonly example: string;
    readonly defaultText?: string;
}

interface RangeOptions extends KeyOptions {
    readonly min: number;
    readonly max: number;
    readonly unit?: string;
}

/** Represents an IP address and a port. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

function createKey<T>(
    type: string,
    options: KeyOptions,
    parse: (text: string) => Result<T, string>,
): SettingKey<T> {
    return {
        type,
        description: options.description,
        defaultText: options.defaultText,
        isRequired: options.defaultText === undefined,
        example: options.example,
        parse,
    };
}

/** Creates a key that may be omitted and then has no value. */
export function optional<T>(key: SettingKey<T>): SettingKey<T | undefined> {
    return { ...key, isRequired: false, defaultText: undefined };
}

/** Creates a key with a non-empty text. */
export function text(options: KeyOptions): SettingKey<string> {
    return createKey("text", options, value => {
        return value === "" ? err(`Write a text, such as ${options.example}.`) : ok(value);
    });
}

/** Creates a key with a secret of a minimum length. */
export function secret(options: KeyOptions & { readonly minLength: number; }): SettingKey<string> {
    const length = `${options.minLength} characters or more`;
    return createKey(`text of ${length}`, options, value => {
        return value.length < options.minLength ? err(`Write a secret of ${length}.`) : ok(value);
    });
}

/** Creates a key with a name of letters, digits, dots, hyphens and underscores. */
export function name(options: KeyOptions): SettingKey<string> {
    return createKey("name", options, value => {
        return /^[A-Za-z0-9][A-Za-z0-9._-]*$/.test(value)
            ? ok(value)
            : err(`Write a name of letters, digits, dots, hyphens and underscores, such as ${options.example}.`);
    });
}

/** Creates a key with a whole number. */
export function integer(options: RangeOptions): SettingKey<number> {
    return createKey(describeRange("whole number", options), options, value => {
        return /^-?\d+$/.test(value) && isWithin(Number(value), options)
            ? ok(Number(value))
            : err(`Write ${describeRange("a whole number", options)}, such as ${options.example}.`);
    });
}

/** Creates a key with a decimal number. */
export function decimal(options: RangeOptions): SettingKey<number> {
    return createKey(describeRange("number", options), options, value => {
        return /^-?\d+(\.\d+)?$/.test(value) && isWithin(Number(value), options)
            ? ok(Number(value))
            : err(`Write ${describeRange("a number", options)}, such as ${options.example}.`);
    });
}

/** Creates a key with a boolean value. */
export function toggle(options: KeyOptions): SettingKey<boolean> {
    return createKey("true or false", options, value => {
        return value === "true" || value === "false" ? ok(value === "true") : err("Write true or false.");
    });
}

/** Creates a key with one of a fixed set of values. */
export function choice<T extends string>(values: readonly T[], options: KeyOptions): SettingKey<T> {
    return createKey(values.join(", "), options, value => {
        const match = values.find(candidate => candidate === value);
        return match === undefined ? err(`Write one of ${values.join(", ")}.`) : ok(match);
    });
}

/** Creates a key with an IP address and a port. */
export function address(options: KeyOptions): SettingKey<SocketAddress> {
    return createKey("IP:PORT", options, value => {
        const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(value);
        if (!match || !isPort(Number(match[2])) || !isAddress(match[1])) {
            return err(`Write an IP address and a port, such as ${options.example}; host names are not resolved.`);
        }
        return ok({ host: match[1].replace(/[[\]]/g, ""), port: Number(match[2]) });
    });
}

/** Creates a key with an HTTP URL. */
export function httpUrl(options: KeyOptions): SettingKey<string> {
    return createKey("URL", options, value => {
        return URL.canParse(value) && /^https?:$/.test(new URL(value).protocol)
            ? ok(value)
            : err(`Write an http or https URL, such as ${options.example}.`);
    });
}

/** Creates a key with a comma-separated list. An empty value is an empty list. */
export function list(
    options: KeyOptions & { readonly pattern: RegExp; readonly item: string; },
): SettingKey<readonly string[]> {
    return createKey(`list of ${options.item}s`, options, value => {
        const items = value === "" ? [] : value.split(",").map(item => item.trim());
        const invalidItem = items.find(item => !options.pattern.test(item));
        return invalidItem === undefined
            ? ok(items)
            : err(
                `"${invalidItem}" is not a ${options.item}; write a comma-separated list such as ${options.example}.`,
            );
    });
}

function isWithin(value: number, options: RangeOptions): boolean {
    return value >= options.min && value <= options.max;
}

function describeRange(kind: string, options: RangeOptions): string {
    const unit = options.unit === undefined ? "" : ` of ${options.unit}`;
    return `${kind}${unit} from ${options.min} to ${options.max}`;
}

function isPort(port: number): boolean {
    return port > 0 && port < 65_536;
}

function isAddress(host: string): boolean {
    return host.startsWith("[") || host.split(".").every(part => Number(part) < 256);
}
