/**
 * Settings of a stand-in process: an INI file, and arguments of the form `key=value` that go before it.
 */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import { Failure } from "../common/index.js";
import { type Address, parseAddress } from "./address.js";

/** What the command line asks for. */
export interface StandinCommand {
    readonly kind: string;
    readonly listen: Address;
    readonly settings: object;
}

type Section = Record<string, unknown>;

/**
 * Reads the command line `KIND --listen ADDRESS [--settings FILE] [KEY=VALUE ...]`.
 * A key such as `version.plan@2.quality.wear-tag` stands for key `quality.wear-tag` in section `[version.plan@2]`.
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
        throw createUsageFailure("A stand-in needs its kind and --listen.");
    }
    return { kind, listen, settings };
}

function setValue(settings: Section, argument: string): void {
    const separator = argument.indexOf("=");
    if (separator < 1) {
        throw createUsageFailure(`"${argument}" is no setting.`);
    }
    const value = argument.slice(separator + 1);
    const [first, name, ...rest] = argument.slice(0, separator).split(".");
    if (name === undefined) {
        settings[first] = value;
        return;
    }
    const group = getSection(settings, first);
    if (rest.length === 0) {
        group[name] = value;
        return;
    }
    getSection(group, name)[rest.join(".")] = value;
}

function getSection(parent: Section, name: string): Section {
    const section = (parent[name] ?? {}) as Section;
    parent[name] = section;
    return section;
}

function createUsageFailure(message: string): Failure {
    return new Failure({
        kind: "invalid-input",
        message,
        remedy: "Write KIND --listen IP-NUMBER:PORT [--settings FILE] [KEY=VALUE ...].",
    });
}
