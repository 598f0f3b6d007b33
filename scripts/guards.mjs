// Checks that the tests detect missing guards: disables one guarding mechanism at a time in a scratch copy and runs its
// test, which must then fail. Usage: node scripts/guards.mjs [PART_OF_A_NAME]. Not part of CI, since it rebuilds the
// code for each guard.
import { spawnSync } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const copied = ["src", "test", "scripts", "deploy", "dist", "docs", "package.json", "tsconfig.json", "KNOWN-RED.txt"];
/** Tests below this folder run the bundled program of nodes. */
const bundledTests = "platform/";
const shownFailures = 4;

function copyTree() {
    const folder = mkdtempSync(join(tmpdir(), "rattanlock-guards-"));
    for (const name of copied) {
        cpSync(name, join(folder, name), { recursive: true, force: true });
    }
    symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
    return folder;
}

function run(folder, program, args) {
    return spawnSync(program, args, { cwd: folder, encoding: "utf8", maxBuffer: 2 ** 28 });
}

/** Creates the arguments that run the guard's whole test file, or only the tests that match the guard's `only` pattern. */
function createTestArguments({ test, only }) {
    return only === undefined
        ? ["scripts/runTests.mjs", test]
        : ["--test", `--test-name-pattern=${only}`, join("dist", "test", `${test}.test.js`)];
}

/** Disables a guard, runs its test and returns the names of the failed tests. */
function tryWithout(folder, guard) {
    const path = join(folder, guard.file);
    const original = readFileSync(path, "utf8");
    if (original.split(guard.find).length !== 2) {
        throw new Error(`${guard.name}: the text to replace does not occur exactly once in ${guard.file}.`);
    }
    writeFileSync(path, original.replace(guard.find, () => guard.replace));
    const built = run(folder, "node_modules/.bin/tsc", [
        "-p",
        ".",
        "--noUnusedLocals",
        "false",
        "--noUnusedParameters",
        "false",
    ]);
    if (guard.test.startsWith(bundledTests)) {
        run(folder, process.execPath, ["scripts/bundle.mjs"]);
    }
    const tested = run(folder, process.execPath, createTestArguments(guard));
    writeFileSync(path, original);
    if (built.status !== 0) {
        throw new Error(`${guard.name}: the code does not build without the guard:\n${built.stdout}`);
    }
    const failures = [];
    for (const line of tested.stdout.split("\n")) {
        const match = /^ +not ok \d+ - (.*)$/.exec(line);
        // A test that was skipped, or whose site did not start, proves nothing about the guard.
        if (match && !match[1].includes("# SKIP")) {
            failures.push(match[1]);
        }
    }
    return failures;
}

const wanted = process.argv[2] ?? "";
const guards = JSON.parse(readFileSync("test/guards.json", "utf8"))
    .filter(guard => guard.name.includes(wanted) || guard.test.includes(wanted));
const folder = copyTree();
let unproved = 0;
try {
    for (const guard of guards) {
        const failures = tryWithout(folder, guard);
        unproved += failures.length === 0 ? 1 : 0;
        console.log(`${failures.length === 0 ? "NOT PROVED" : "proved"}: ${guard.name}`);
        for (const failure of failures.slice(0, shownFailures)) {
            console.log(`    without it fails: ${failure}`);
        }
    }
}
finally {
    rmSync(folder, { recursive: true, force: true });
}
console.log(`${guards.length - unproved} proved, ${unproved} not proved`);
process.exit(unproved === 0 ? 0 : 1);
