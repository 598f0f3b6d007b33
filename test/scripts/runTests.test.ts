import { expect } from "earl";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { after, describe, it } from "node:test";

const program = resolve("scripts/runTests.mjs");
/** Number of last lines that logs of CI keep. */
const keptLines = 200;
const failing = `it("fails", () => { throw new Error("the fault"); });`;
const passing = `it("passes", () => {});`;
const killed = `it("ends", async () => { process.kill(process.pid, "SIGKILL"); await new Promise(() => {}); });`;

// A test that fails now and then is traced by the lines that are kept of the run in which it failed.
describe("scripts/runTests.mjs", () => {
    const folders: string[] = [];
    after(() => {
        for (const folder of folders) {
            rmSync(folder, { recursive: true });
        }
    });

    /** Runs test files with the given contents. */
    async function runTests(files: Readonly<Record<string, string>>, knownRed = ""): Promise<TestRun> {
        const folder = mkdtempSync(join(tmpdir(), "run-tests-"));
        folders.push(folder);
        mkdirSync(join(folder, "dist", "test"), { recursive: true });
        writeFileSync(join(folder, "KNOWN-RED.txt"), knownRed);
        for (const [name, content] of Object.entries(files)) {
            const text = `const { describe, before, it } = require("node:test");\n${content}\n`;
            writeFileSync(join(folder, "dist", "test", `${name}.test.js`), text);
        }
        // In the environment of a test, the runner would not run anything.
        const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
        const child = spawn(process.execPath, [program], { cwd: folder, env, stdio: ["ignore", "pipe", "inherit"] });
        return collect(child);
    }

    // Guards against a log of CI whose kept lines do not tell which test failed.
    it("names a test that failed, its file and its error in the last lines", async () => {
        const many = Array.from({ length: 2 * keptLines }, (...[, index]) => `it("${index}", () => {});`);
        const { status, lines } = await runTests({ first: failing, second: many.join("\n") });
        expect(status).toEqual(1);
        const last = lines.slice(-keptLines);
        expect(last).toInclude("failed: dist/test/first.test.js: fails");
        expect(last.some(line => line.includes("Error: the fault"))).toEqual(true);
        expect(lines).toInclude("not ok 1 - fails");
    });

    // Guards against a failure that is lost among many others, or in the length of one error.
    it("keeps what it says of failures within the last lines", async () => {
        const many = Array.from(
            { length: keptLines },
            (...[, index]) => `it("fails ${index}", () => { throw new Error("fault\\n".repeat(${keptLines})); });`,
        );
        const { lines } = await runTests({ first: many.join("\n") });
        expect(lines.slice(-keptLines)).toInclude(`${keptLines} failed:`);
    });

    // Guards against a run that passes although a file or suite failed by itself.
    it("fails for a file that a signal ended, that cannot be loaded, and for a suite that failed by itself", async () => {
        const suite = `describe("suite", () => { before(() => { throw new Error("the hook"); }); ${passing} });`;
        const { status, lines } = await runTests({ killed, broken: `throw new Error("the start");`, suite });
        expect(status).toEqual(1);
        const named = lines.filter(line => line.startsWith("failed: "));
        expect(named).toInclude("failed: dist/test/killed.test.js: dist/test/killed.test.js");
        expect(named).toInclude("failed: dist/test/broken.test.js: dist/test/broken.test.js");
        expect(named).toInclude("failed: dist/test/suite.test.js: suite");
        expect(lines.some(line => line.startsWith("    ") && line.includes("Error: the start"))).toEqual(true);
    });

    // Guards against a known red test that hides another failure of its file, and against a run that fails for it alone.
    it("passes over known red tests alone", async () => {
        const knownRed = "first; fails; a command\n";
        const alone = await runTests({ first: failing, second: passing }, knownRed);
        expect(alone.status).toEqual(0);
        expect(alone.lines.filter(line => line.startsWith("failed: "))).toEqual([]);
        const other = await runTests({ first: `${failing}\n${failing.replace("fails", "also fails")}` }, knownRed);
        expect(other.status).toEqual(1);
        expect(other.lines).toInclude("failed: dist/test/first.test.js: also fails");
    });

    // Guards against a file that ends before all of its tests have run, after a known red one has failed.
    it("fails for a file that ended after a known red test", async () => {
        const late = killed.replace("process.kill", "await new Promise(done => setTimeout(done, 200)); process.kill");
        const { status, lines } = await runTests({ first: `${failing}\n${late}` }, "first; fails; a command\n");
        expect(status).toEqual(1);
        expect(lines).toInclude("failed: dist/test/first.test.js: dist/test/first.test.js");
    });

    // Guards against a test file that tests nothing.
    it("fails for a file without tests, known red or not", async () => {
        for (const knownRed of ["", "first; fails; a command\n"]) {
            const { status, lines } = await runTests({ first: "" }, knownRed);
            expect(status).toEqual(1);
            expect(lines).toInclude("failed: dist/test/first.test.js: dist/test/first.test.js");
        }
    });

    // Guards against failures that are named although all tests pass.
    it("names none if all pass", async () => {
        const { status, lines } = await runTests({ first: passing });
        expect(status).toEqual(0);
        expect(lines.filter(line => line.includes("failed:"))).toEqual([]);
    });
});

/** What a run of the script did. */
interface TestRun {
    readonly status: number | null;
    readonly lines: readonly string[];
}

async function collect(child: ChildProcess): Promise<TestRun> {
    const pieces: Buffer[] = [];
    child.stdout!.on("data", (piece: Buffer) => pieces.push(piece));
    const status = await new Promise<number | null>(resolveStatus => child.once("close", resolveStatus));
    return { status, lines: Buffer.concat(pieces).toString().split("\n") };
}
