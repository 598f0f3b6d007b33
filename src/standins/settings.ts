/**
 * Settings of a stand-in process: an INI file, and arguments of the form `key=value` after it, which override it.
 */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import { Failure } from "../common/index.js";
import { type Address, parseAddress } from "./address.js";

/** Parsed command line of a stand-in process. */
export interface StandinCommand {
    readonly kind: string;
    readonly listen: Address;
    readonly settings: object;
}

type Section = Record<string, unknown>;

/**
 * Parses the command line `KIND --listen ADDRESS [--settings FILE] [KEY=VALUE ...]`.
 * A key such as `version.plan@2.quality.wear-tag` sets the key `quality.wear-tag` of section `[version.plan@2]`.
 */
export function readCommand(args: readonly string[]): StandinCommand {
    const [kind, ...rest] = args;
    const settings: Section = {};
    let listen: Address | undefined;
    for (let index = 0; index < rest.length; index += 1) {
        const argument = rest[index];
        if (argument === "--listen") {
            index += 1;
            listen = parseAddress(rest[index] ?? "");
            continue;
        }
        if (argument === "--settings") {
            index += 1;
            Object.assign(settings, parse(readFileSync(rest[index] ?? "", "utf8")));
            continue;
        }
        setValue(settings, argument);
    }
    if (kind === undefined || listen === undefined) {
        throw createUsageFailure("KIND and --listen are required.");
    }
    return { kind, listen, settings };
}

function setValue(settings: Section, argument: string): void {
    const separator = argument.indexOf("=");
    if (separator < 1) {
        throw createUsageFailure(`"${argument}" is not a setting of the form KEY=VALUE.`);
    }
    const value = argument.slice(separator + 1);
    const [first, name, ...rest] = argument.slice(0, separator).split(".");
    if (name === undefined) {
        settings[first] = value;
        return;
    }
    const group = getOrCreateSection(settings, first);
    if (rest.length === 0) {
        group[name] = value;
        return;
    }
    getOrCreateSection(group, name)[rest.join(".")] = value;
}

function getOrCreateSection(parent: Section, name: string): Section {
    const section = (parent[name] ?? {}) as Section;
    parent[name] = section;
    return section;
}

function createUsageFailure(message: string): Failure {
    return new Failure({
        kind: "invalid-input",
        message,
        remedy: "Use KIND --listen IP-ADDRESS:PORT [--settings FILE] [KEY=VALUE ...].",
    });
}
