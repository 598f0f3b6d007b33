import { expect } from "earl";
import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { type LoadResult, type LoadRunOptions, parseLoadResult, runLoadCommand } from "../../src/load/index.js";
import { getApiKey, metroManila, Site, withProcesses } from "../../src/testbench/index.js";
import { createEmptyResult } from "../fixtures/loadProfiles.js";

const program = fileURLToPath(new URL("../../src/load/main.js", import.meta.url));
const folder = mkdtempSync(join(tmpdir(), "load-test-"));
const profile = write(
    "profile.ini",
    [
        "[load]",
        "rate = 3",
        "seed = 5",
        "[workspace.commissary]",
        `key = ${getApiKey("commissary")}`,
        "[work.kitchen]",
        "kind = conversation",
        "workspace = commissary",
        "maximum_tokens = 4",
        "[work.print]",
        "kind = service",
        "workspace = commissary",
        "pool = label-app",
        "path = /print",
    ].join("\n"),
);

after(() => rmSync(folder, { recursive: true }));

function write(name: string, content: string): string {
    const path = join(folder, name);
    writeFileSync(path, content);
    return path;
}

/** Runs the program and waits for its exit. */
function runProgram(args: readonly string[]) {
    return new Promise<{ readonly code: number; readonly errors: string; }>(resolve => {
        execFile(process.execPath, [program, ...args], (error, ...[, errors]) => {
            resolve({ code: Number(error?.code ?? 0), errors });
        });
    });
}

async function runCommand(args: readonly string[]) {
    const lines: string[] = [];
    const runs: LoadRunOptions[] = [];
    const result = await runLoadCommand(args, {
        print: line => lines.push(line),
        run: async (options): Promise<LoadResult> => {
            runs.push(options);
            return createEmptyResult(options.title);
        },
    });
    return { done: result, lines, runs };
}

describe("runLoadCommand", () => {
    const defaultArgs = ["--address", "127.64.1.1:80", "--profile", profile];

    it("takes rate, duration and seed from the profile unless arguments override them", async () => {
        const { runs } = await runCommand([...defaultArgs, "--rate", "7.5", "--address", "127.64.1.2:80"]);
        expect(runs.length).toEqual(1);
        expect(runs[0]).toEqual(expect.subset({
            addresses: ["127.64.1.1:80", "127.64.1.2:80"],
            ratePerSecond: 7.5,
            seconds: 30,
            seed: 5,
        }));
    });

    it("writes the result and the page, and compares results", async () => {
        const [json, html] = [join(folder, "a.json"), join(folder, "a.html")];
        const { done } = await runCommand([...defaultArgs, "--json", json, "--html", html]);
        expect(done.isOk()).toEqual(true);
        expect(parseLoadResult(readFileSync(json, "utf8"), json).isOk()).toEqual(true);
        expect(readFileSync(html, "utf8")).toEqual(expect.includes("<svg"));
        const { lines } = await runCommand(["compare", json, json]);
        expect(lines.join("\n")).toEqual(expect.includes("first token p95, ms"));
    });

    // A run against an unreachable site ends with an error. If the result file were truncated before the run, the operator
    // would lose the earlier result and could not compare with it.
    it("keeps an earlier result when the run fails", async () => {
        const json = write("earlier.json", "earlier");
        const running = runLoadCommand([...defaultArgs, "--json", json], {
            print: () => undefined,
            run: () => Promise.reject(new Error("the run failed")),
        });
        await expect(running).toBeRejectedWith("the run failed");
        expect(readFileSync(json, "utf8")).toEqual("earlier");
    });

    function testInvalidInput(name: string, args: readonly string[], message: string): void {
        it(`refuses ${name} before anything is sent`, async () => {
            const { done, runs } = await runCommand(args);
            expect(done._unsafeUnwrapErr().message).toEqual(expect.includes(message));
            expect(runs).toEqual([]);
        });
    }
    testInvalidInput("no arguments", [], "--address or --profile is missing.");
    testInvalidInput("an unknown argument", [...defaultArgs, "--speed", "3"], "--speed");
    testInvalidInput(
        "an invalid address",
        ["--address", "entry", "--profile", profile],
        "--address entry is not a valid address.",
    );
    testInvalidInput("a rate of 0", [...defaultArgs, "--rate", "0"], "Write a number above 0");
    testInvalidInput("a rate that is not a number", [...defaultArgs, "--rate", "many"], "--rate many cannot be used.");
    testInvalidInput("an empty duration", [...defaultArgs, "--seconds", ""], "Write a number above 0");
    testInvalidInput("a seed with a fraction", [...defaultArgs, "--seed", "1.5"], "Write a whole number");
    testInvalidInput(
        "a missing profile",
        ["--address", "a:1", "--profile", "none.ini"],
        "none.ini cannot be read",
    );
    testInvalidInput(
        "a profile with an unknown key",
        ["--address", "a:1", "--profile", write("wrong.ini", "[load]\nrait = 3\n")],
        "[load] rait: The key is not known here. Did you mean rate?",
    );
    testInvalidInput(
        "an output file that cannot be written",
        [...defaultArgs, "--json", join(folder, "none", "a.json")],
        "cannot be written",
    );
    testInvalidInput("a comparison with one file", ["compare", "a.json"], "A comparison needs two results.");
    testInvalidInput("a comparison of other files", ["compare", profile, profile], "It is not JSON.");
});

describe("rattanlock-load", () => {
    it("exits with code 2 and prints the usage for bad input", async () => {
        const { code, errors } = await runProgram(["--rate", "3"]);
        expect(code).toEqual(2);
        expect(errors).toEqual(expect.includes("Usage: rattanlock-load"));
    });

    it("sends work through running entries", async () => {
        await withProcesses(async group => {
            const site = await Site.start(group, {
                ...metroManila,
                prefix: "127.64.1",
                entryCount: 2,
                entryEnvironment: { DEBUG: "" },
                runners: { ...metroManila.runners, count: 2 },
                services: { ...metroManila.services, count: 1 },
            });
            const json = join(folder, "site.json");
            const address = site.getEntries()[0].callerAddress;
            const { code } = await runProgram(
                ["--address", address, "--profile", profile, "--rate", "15", "--seconds", "2", "--json", json],
            );
            expect(code).toEqual(0);
            const result = parseLoadResult(readFileSync(json, "utf8"), json)._unsafeUnwrap();
            expect(result.requests > 10).toEqual(true);
            expect(result.ends).toEqual({ answered: result.requests });
            expect(Object.keys(result.works)).toEqual(["kitchen", "print"]);
            expect(result.distributions.firstToken.count).toEqual(result.works.kitchen);
        });
    });
});
