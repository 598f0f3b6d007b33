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

const maxRunSeconds = 86_400;
const maxRate = 100_000;
const maxSeed = 2_147_483_647;

/** The usage text of the program. */
export const usage = [
    "Usage: rattanlock-load --address IP:PORT [--address IP:PORT ...] --profile FILE [--rate N] [--seconds N] [--seed N]",
    "                       [--json FILE] [--html FILE]",
    "       rattanlock-load compare A.json B.json",
].join("\n");

/** The side effects of the program, replaceable in tests. */
export interface LoadCommandOptions {
    readonly run: (options: LoadRunOptions) => Promise<LoadResult>;
    readonly print: (line: string) => void;
}

/**
 * Runs the command that the arguments specify.
 * @param args - The command-line arguments.
 * @param options - The functions that run the load and print text.
 */
export async function runLoadCommand(
    args: readonly string[],
    options: LoadCommandOptions,
): Promise<Result<void, Failure>> {
    if (args[0] === "compare") {
        return compareFiles(args.slice(1)).map(text => options.print(text));
    }
    const command = parseLoadArguments(args);
    if (command.isErr()) {
        return err(command.error);
    }
    const { json, html, run } = command.value;
    const outputs = [json, html].filter(file => file !== undefined);
    // A file that cannot be written is reported before the run. After a long run, the result would be lost.
    for (const file of outputs) {
        const writable = checkWritable(file);
        if (writable.isErr()) {
            return writable;
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

function parseLoadArguments(args: readonly string[]): Result<LoadArguments, Failure> {
    return parseOptions(args).andThen((values): Result<LoadArguments, Failure> => {
        const { address: addresses = [], profile: file, json, html } = values;
        const invalidAddress = addresses.find(address =>
            !/^.+:\d{1,5}$/.test(address) || !URL.canParse(`http://${address}`)
        );
        if (invalidAddress !== undefined) {
            return invalidInput(
                `--address ${invalidAddress} is not a valid address.`,
                "Write an IP address and a port, such as 10.0.1.1:8080.",
            );
        }
        if (addresses.length === 0 || file === undefined) {
            return invalidInput(
                "--address or --profile is missing.",
                "Specify the address of at least one entry and a load profile.",
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
        readNumber("rate", values.rate, rate, maxRate),
        readNumber("seconds", values.seconds, seconds, maxRunSeconds),
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

function parseOptions(args: readonly string[]) {
    const parse = Result.fromThrowable(
        () =>
            parseArgs({
                args: [...args],
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
        error => createInputFailure(error instanceof Error ? error.message : String(error), "See the usage."),
    );
    return parse();
}

function readProfile(content: string, file: string) {
    return parseLoadProfile(content, file).mapErr(errors =>
        createInputFailure("The load profile cannot be used.", errors.map(formatValidationError).join("\n"))
    );
}

function readNumber(
    name: string,
    text: string | undefined,
    defaultValue: number,
    max: number,
): Result<number, Failure> {
    const value = text === undefined ? defaultValue : Number(text);
    return value > 0 && value <= max && text?.trim() !== ""
        ? ok(value)
        : invalidInput(`--${name} ${text} cannot be used.`, `Write a number above 0 and up to ${max}.`);
}

function readSeed(text: string | undefined, defaultValue: number): Result<number, Failure> {
    const value = text === undefined ? defaultValue : Number(text);
    return Number.isInteger(value) && value >= 0 && value <= maxSeed && text?.trim() !== ""
        ? ok(value)
        : invalidInput(`--seed ${text} cannot be used.`, `Write a whole number from 0 to ${maxSeed}.`);
}

function compareFiles(files: readonly string[]): Result<string, Failure> {
    if (files.length !== 2) {
        return invalidInput("A comparison needs two results.", "Write rattanlock-load compare A.json B.json.");
    }
    const results = files.map(file => readText(file).andThen(content => parseLoadResult(content, file)));
    return Result.combine(results).map(([before, after]) => formatDifferences(compareResults(before, after)));
}

function readText(file: string): Result<string, Failure> {
    const read = Result.fromThrowable(
        () => readFileSync(file, "utf8"),
        error => createInputFailure(`${file} cannot be read: ${getMessage(error)}.`, "Specify an existing file."),
    );
    return read();
}

/** Checks that a file can be written. Opens it for appending, so that an earlier result stays until there is a new one. */
function checkWritable(file: string): Result<void, Failure> {
    const write = Result.fromThrowable(
        () => writeFileSync(file, "", { flag: "a" }),
        error =>
            createInputFailure(
                `${file} cannot be written: ${getMessage(error)}.`,
                "Specify a file in an existing folder.",
            ),
    );
    return write();
}

function getMessage(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}

function createInputFailure(message: string, remedy: string): Failure {
    return new Failure({ kind: "invalid-input", message, remedy });
}

function invalidInput<Value>(message: string, remedy: string): Result<Value, Failure> {
    return err(createInputFailure(message, remedy));
}
