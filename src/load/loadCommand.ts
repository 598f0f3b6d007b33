/**
 * The command line of `rattanlock-load`.
 */
import { err, ok, Result } from "neverthrow";
import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { Failure } from "../common/index.js";
import { formatValidationError } from "../settings/index.js";
import { compareResults, formatDifferences } from "./compare.js";
import { type LoadResult, parseLoadResult } from "./loadResult.js";
import type { LoadRunOptions } from "./loadRun.js";
import { type LoadProfile, parseLoadProfile } from "./profile.js";
import { createReportPage } from "./reportPage.js";
import { formatResult } from "./resultText.js";

const longestRunSeconds = 86_400;
const highestRate = 100_000;
const highestSeed = 2_147_483_647;

/** How the program is called. */
export const usage = [
    "Usage: rattanlock-load --address IP:PORT [--address IP:PORT ...] --profile FILE [--rate N] [--seconds N] [--seed N]",
    "                       [--json FILE] [--html FILE]",
    "       rattanlock-load compare A.json B.json",
].join("\n");

/** What the program does outside itself. */
export interface LoadCommandOptions {
    readonly run: (options: LoadRunOptions) => Promise<LoadResult>;
    readonly print: (line: string) => void;
}

/**
 * Does what the command line asks for.
 * @param words - The arguments.
 * @param options - How to run and where to print.
 */
export async function runLoadCommand(
    words: readonly string[],
    options: LoadCommandOptions,
): Promise<Result<void, Failure>> {
    if (words[0] === "compare") {
        return compareFiles(words.slice(1)).map(text => options.print(text));
    }
    const command = readArguments(words);
    if (command.isErr()) {
        return err(command.error);
    }
    const { json, html, run } = command.value;
    const outputs = [json, html].filter(file => file !== undefined);
    // A file that cannot be written is reported now rather than after a long run whose result would be lost.
    for (const file of outputs) {
        const written = checkWritable(file);
        if (written.isErr()) {
            return written;
        }
    }
    const result = await options.run(run);
    options.print(formatResult(result));
    if (json !== undefined) {
        writeFileSync(json, `${JSON.stringify(result, undefined, 4)}\n`);
    }
    if (html !== undefined) {
        writeFileSync(html, createReportPage(result));
    }
    return ok();
}

interface LoadArguments {
    readonly run: LoadRunOptions;
    readonly json: string | undefined;
    readonly html: string | undefined;
}

function readArguments(words: readonly string[]): Result<LoadArguments, Failure> {
    return parseWords(words).andThen((values): Result<LoadArguments, Failure> => {
        const { address: addresses = [], profile: file, json, html } = values;
        const wrong = addresses.find(address => !/^.+:\d{1,5}$/.test(address) || !URL.canParse(`http://${address}`));
        if (wrong !== undefined) {
            return refuse(`--address ${wrong} is no address.`, "Write an IP number and a port, such as 10.0.1.1:8080.");
        }
        if (addresses.length === 0 || file === undefined) {
            return refuse(
                "--address or --profile is missing.",
                "Give at least one entry's address, and a load profile.",
            );
        }
        return readText(file)
            .andThen(content => readProfile(content, file))
            .andThen(profile => readRun(values, profile, addresses))
            .map(run => ({ run, json, html }));
    });
}

function readRun(
    values: Readonly<Partial<Record<"rate" | "seconds" | "seed", string>>>,
    profile: LoadProfile,
    addresses: readonly string[],
): Result<LoadRunOptions, Failure> {
    const { rate, seconds, seed } = profile.load;
    return Result.combine([
        readNumber("rate", values.rate, rate, highestRate),
        readNumber("seconds", values.seconds, seconds, longestRunSeconds),
        readSeed(values.seed, seed),
    ]).map(numbers => ({
        title: `Load on ${addresses.join(", ")}`,
        addresses,
        profile,
        ratePerSecond: numbers[0],
        seconds: numbers[1],
        seed: numbers[2],
    }));
}

function parseWords(words: readonly string[]) {
    const parse = Result.fromThrowable(
        () =>
            parseArgs({
                args: [...words],
                options: {
                    address: { type: "string", multiple: true },
                    profile: { type: "string" },
                    rate: { type: "string" },
                    seconds: { type: "string" },
                    seed: { type: "string" },
                    json: { type: "string" },
                    html: { type: "string" },
                },
            }).values,
        error => createRefusal(error instanceof Error ? error.message : String(error), "See the usage."),
    );
    return parse();
}

function readProfile(content: string, file: string) {
    return parseLoadProfile(content, file).mapErr(mistakes =>
        createRefusal("The load profile cannot be used.", mistakes.map(formatValidationError).join("\n"))
    );
}

function readNumber(
    name: string,
    text: string | undefined,
    otherwise: number,
    maximum: number,
): Result<number, Failure> {
    const value = text === undefined ? otherwise : Number(text);
    return value > 0 && value <= maximum && text?.trim() !== ""
        ? ok(value)
        : refuse(`--${name} ${text} cannot be used.`, `Write a number above 0 and up to ${maximum}.`);
}

function readSeed(text: string | undefined, otherwise: number): Result<number, Failure> {
    const value = text === undefined ? otherwise : Number(text);
    return Number.isInteger(value) && value >= 0 && value <= highestSeed && text?.trim() !== ""
        ? ok(value)
        : refuse(`--seed ${text} cannot be used.`, `Write a whole number from 0 to ${highestSeed}.`);
}

function compareFiles(files: readonly string[]): Result<string, Failure> {
    if (files.length !== 2) {
        return refuse("A comparison needs two results.", "Write rattanlock-load compare A.json B.json.");
    }
    const results = files.map(file => readText(file).andThen(content => parseLoadResult(content, file)));
    return Result.combine(results).map(([before, after]) => formatDifferences(compareResults(before, after)));
}

function readText(file: string): Result<string, Failure> {
    const read = Result.fromThrowable(
        () => readFileSync(file, "utf8"),
        error => createRefusal(`${file} cannot be read: ${getMessage(error)}.`, "Give a file that exists."),
    );
    return read();
}

/** Opens a file for appending, which leaves an earlier result in it as it is until there is a new one. */
function checkWritable(file: string): Result<void, Failure> {
    const write = Result.fromThrowable(
        () => writeFileSync(file, "", { flag: "a" }),
        error =>
            createRefusal(`${file} cannot be written: ${getMessage(error)}.`, "Give a file in a folder that exists."),
    );
    return write();
}

function getMessage(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}

function createRefusal(message: string, remedy: string): Failure {
    return new Failure({ kind: "invalid-input", message, remedy });
}

function refuse<Value>(message: string, remedy: string): Result<Value, Failure> {
    return err(createRefusal(message, remedy));
}
