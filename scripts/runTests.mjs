// Runs the compiled test files with Node's test runner.
// Arguments select files by a part of their path: `npm test -- log` runs only the files whose path contains "log".
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { run } from "node:test";
import { FailureCollector } from "./failureReporter.mjs";

/** Lists tests that are known to fail for a recorded reason; only their failures are ignored. */
const knownRedFile = "KNOWN-RED.txt";
/** Maximum number of such tests. Beyond it, mending goes before anything new. */
const maxKnownRed = 16;
const concurrentFiles = 3;
/** Folder of the tests that run one at a time after all others, since they check what a process takes of its machine. */
const aloneFolder = "alone";
/** Timeout of a test file, after which it is ended and fails. The longest file takes 90 seconds on a busy machine. */
const fileMilliseconds = 300_000;
/** Numbers of failures that the end of the output shows with their errors, and of those that it names. The ends of logs are kept. */
const maxShownErrors = 10;
const maxNamed = 40;

function findTestFiles(folder) {
    const files = [];
    for (const entry of readdirSync(folder, { withFileTypes: true })) {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            files.push(...findTestFiles(path));
        }
        else if (entry.name.endsWith(".test.js")) {
            files.push(path);
        }
    }
    return files;
}

function readKnownRed() {
    if (!existsSync(knownRedFile)) {
        return [];
    }
    const lines = readFileSync(knownRedFile, "utf8").split("\n");
    return lines.filter(line => line.trim() !== "" && !line.startsWith("#"));
}

const selectors = process.argv.slice(2);
const knownRed = readKnownRed();
// Those that run alone are not counted: the users ask for one line a test there.
if (knownRed.filter(line => !line.startsWith(`${aloneFolder}/`)).length > maxKnownRed) {
    console.error(`KNOWN-RED.txt holds more than ${maxKnownRed} lines: mend a test before adding another.`);
    process.exit(1);
}
for (const line of knownRed) {
    console.log(`known red: ${line}`);
}
// The first field of a line is the test file, relative to test/ and without the extension; the second is the test's name.
const redNames = new Map();
for (const line of knownRed) {
    const [file, name] = line.split(";").map(field => field.trim());
    const path = join("dist", "test", `${file}.test.js`);
    redNames.set(path, [...redNames.get(path) ?? [], name]);
}
const files = findTestFiles(join("dist", "test"))
    .filter(file => selectors.length === 0 || selectors.some(selector => file.includes(selector)));
if (files.length === 0) {
    console.error("No test file matches. Build first with `npm run build`, or give a part of a test file's path.");
    process.exit(1);
}

/** Runs test files. Returns the exit code and the failures; the runner writes to this process's output. */
function runFiles(paths, concurrency) {
    const folder = mkdtempSync(join(tmpdir(), "rattanlock-tests-"));
    const failuresFile = join(folder, "failures");
    const reporter = new URL("failureReporter.mjs", import.meta.url);
    const options = [
        `--test-concurrency=${concurrency}`,
        `--test-timeout=${fileMilliseconds}`,
        ...["--test-reporter=tap", "--test-reporter-destination=stdout"],
        ...[`--test-reporter=${reporter}`, `--test-reporter-destination=${failuresFile}`],
    ];
    const status = spawnSync(process.execPath, ["--test", ...options, ...paths], { stdio: "inherit" }).status ?? 1;
    const lines = existsSync(failuresFile) ? readFileSync(failuresFile, "utf8").split("\n") : [];
    rmSync(folder, { recursive: true });
    return { status, failures: lines.filter(line => line !== "").map(line => JSON.parse(line)) };
}

/** Runs a file that contains known red tests and ignores only their failures. Returns the others. */
async function runRedFile(path, names) {
    const collector = new FailureCollector();
    const failures = [];
    for await (const event of run({ files: [path], timeout: fileMilliseconds })) {
        const failure = collector.observe(event);
        if (failure === undefined) {
            continue;
        }
        const isKnown = names.includes(event.data.name);
        console.log(`${isKnown ? "known red" : "not ok"}: ${path}: ${failure.name}: ${failure.lines[0]}`);
        if (!isKnown) {
            failures.push(failure);
        }
    }
    return failures;
}

function printFailures(failures) {
    if (failures.length > 0) {
        console.log(`\n${failures.length} failed:`);
    }
    for (const [index, { file, name, lines }] of failures.slice(0, maxNamed).entries()) {
        console.log(`failed: ${file}: ${name}`);
        for (const line of index < maxShownErrors ? lines : []) {
            console.log(`    ${line}`);
        }
    }
    if (failures.length > maxNamed) {
        console.log(`and ${failures.length - maxNamed} more`);
    }
}

const failures = [];
for (const [path, names] of redNames) {
    if (files.includes(path)) {
        failures.push(...await runRedFile(path, names));
    }
}
let status = failures.length === 0 ? 0 : 1;
const others = files.filter(path => !redNames.has(path));
const isAlone = path => path.startsWith(join("dist", "test", aloneFolder));
for (
    const [paths, concurrency] of [[others.filter(path => !isAlone(path)), concurrentFiles], [
        others.filter(isAlone),
        1,
    ]]
) {
    if (paths.length > 0) {
        const result = runFiles(paths, concurrency);
        failures.push(...result.failures);
        status = Math.max(status, result.status, result.failures.length === 0 ? 0 : 1);
    }
}
printFailures(failures);
process.exit(status);
