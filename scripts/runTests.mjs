// Runs the compiled test files with Node's test runner.
// Arguments select files by a part of their path: `npm test -- log` runs only the files whose path contains "log".
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";

/** Lists tests that are known to fail for a recorded reason; only their failures are ignored. */
const knownRedFile = "KNOWN-RED.txt";
/** Maximum number of such tests. Beyond it, mending goes before anything new. */
const maxKnownRed = 13;
const concurrency = "3";
/** Timeout of a test file, after which it is ended and fails. The longest file takes 90 seconds on a busy machine. */
const fileMilliseconds = 300_000;

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
if (knownRed.length > maxKnownRed) {
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

/** Runs test files and returns the exit code; the runner writes to this process's output. */
function runFiles(paths) {
    const options = [`--test-concurrency=${concurrency}`, `--test-timeout=${fileMilliseconds}`];
    return spawnSync(process.execPath, ["--test", ...options, ...paths], { stdio: "inherit" }).status ?? 1;
}

/** Runs a file that contains known red tests and ignores only their failures. */
async function runRedFile(path, names) {
    let status = 0;
    for await (const { type, data } of run({ files: [path], timeout: fileMilliseconds })) {
        // A suite or file that fails only because of its subtests is not a failure of its own.
        if (type !== "test:fail" || data.details.error.failureType === "subtestsFailed") {
            continue;
        }
        const isKnown = names.includes(data.name);
        console.log(`${isKnown ? "known red" : "not ok"}: ${path}: ${data.name}: ${data.details.error.cause ?? ""}`);
        status = isKnown ? status : 1;
    }
    return status;
}

let status = 0;
for (const [path, names] of redNames) {
    if (files.includes(path)) {
        status = Math.max(status, await runRedFile(path, names));
    }
}
const others = files.filter(path => !redNames.has(path));
if (others.length > 0) {
    status = Math.max(status, runFiles(others));
}
process.exit(status);
