import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";

/** A program that starts a child, which never exits by itself and must end with its parent. */
const program = `
import { spawn } from "node:child_process";
import { endWithParent } from "${new URL("../../src/testbench/endWithParent.js", import.meta.url)}";
const child = spawn(process.execPath, ["-e", "setInterval(() => {}, 1000)"], { stdio: "ignore" });
endWithParent(child);
console.log(child.pid);
`;

function isAlive(pid: number): boolean {
    try {
        process.kill(pid, 0);
        return true;
    }
    catch {
        // The process no longer exists.
        return false;
    }
}

describe("endWithParent", () => {
    // Guards against processes that outlive a test file. A test file that fails while its nodes run may exceed its
    // timeout and is then ended by a signal. If its nodes kept running, CI would never finish.
    it("kills the children of a process that SIGTERM ends", async () => {
        const parent = spawn(process.execPath, ["--input-type=module", "-e", program], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        const [line] = await once(createInterface({ input: parent.stdout }), "line") as [string];
        parent.kill("SIGTERM");
        await once(parent, "exit");
        await waitUntil(() => !isAlive(Number(line)), { description: "the child to exit" });
        expect(isAlive(Number(line))).toEqual(false);
    });
});
