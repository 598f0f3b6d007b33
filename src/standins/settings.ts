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
export function readCommand(words: readonly string[]): StandinCommand {
    const [kind, ...rest] = words;
    const settings: Section = {};
    let listen: Address | undefined;
    for (let place = 0; place < rest.length; place += 1) {
        const word = rest[place];
        if (word === "--listen") {
            place += 1;
            listen = parseAddress(rest[place] ?? "");
            continue;
        }
        if (word === "--settings") {
            place += 1;
            Object.assign(settings, parse(readFileSync(rest[place] ?? "", "utf8")));
            continue;
        }
        setValue(settings, word);
    }
    if (kind === undefined || listen === undefined) {
        throw createUsage("A stand-in needs its kind and --listen.");
    }
    return { kind, listen, settings };
}

function setValue(settings: Section, word: string): void {
    const sign = word.indexOf("=");
    if (sign < 1) {
        throw createUsage(`"${word}" is no setting.`);
    }
    const value = word.slice(sign + 1);
    const [first, name, ...rest] = word.slice(0, sign).split(".");
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

function createUsage(message: string): Failure {
    return new Failure({
        kind: "invalid-input",
        message,
        remedy: "Write KIND --listen IP-NUMBER:PORT [--settings FILE] [KEY=VALUE ...].",
    });
}
