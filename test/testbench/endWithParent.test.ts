import { expect } from "earl";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";
import { waitUntil } from "../../src/testbench/index.js";

/** Starts a child that is to end with it, and never ends by itself. */
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
        // There is no such process any more.
        return false;
    }
}

describe("endWithParent", () => {
    // A test fails with its nodes running, and its file is ended for taking too long. Nodes that outlive it keep CI from ending.
    it("ends the children of a process that a signal ends", async () => {
        const parent = spawn(process.execPath, ["--input-type=module", "-e", program], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        const [line] = await once(createInterface({ input: parent.stdout }), "line") as [string];
        parent.kill("SIGTERM");
        await once(parent, "exit");
        await waitUntil(() => !isAlive(Number(line)), { description: "the child's end" });
        expect(isAlive(Number(line))).toEqual(false);
    });
});
