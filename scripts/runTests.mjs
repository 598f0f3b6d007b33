// Runs the compiled test files under Node's own test runner.
// Arguments select files by a part of their path: `npm test -- log` runs only the files whose path holds "log".
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Tests that are known to fail for a recorded reason; `scripts/knownRed.mjs` judges them apart. */
const knownRedFile = "KNOWN-RED.txt";
const concurrency = "3";
/** A file that takes longer is ended and named as failed; the longest takes a minute and a half on a busy machine. */
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
if (knownRed.length > 3) {
    console.error("KNOWN-RED.txt holds more than three lines: mend a test before adding another.");
    process.exit(1);
}
for (const line of knownRed) {
    console.log(`known red, passed over: ${line}`);
}
// The first field of a line is the test file, relative to test/ and without an extension.
const skipped = new Set(knownRed.map(line => join("dist", "test", `${line.split(";")[0].trim()}.test.js`)));
const files = findTestFiles(join("dist", "test"))
    .filter(file => selectors.length === 0 || selectors.some(selector => file.includes(selector)))
    .filter(file => !skipped.has(file));
if (files.length === 0) {
    console.error("No test file matches. Build first with `npm run build`, or give a part of a test file's path.");
    process.exit(1);
}
const options = [`--test-concurrency=${concurrency}`, `--test-timeout=${fileMilliseconds}`];
const run = spawnSync(process.execPath, ["--test", ...options, ...files], { stdio: "inherit" });
process.exit(run.status ?? 1);
