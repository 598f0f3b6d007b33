/**
 * Ends child processes together with this process.
 */
import type { ChildProcess } from "node:child_process";

const sigtermExitCode = 143;

const children = new Set<ChildProcess>();
let hasInstalledHandlers = false;

function killChildren(): void {
    for (const child of children) {
        child.kill("SIGKILL");
        // A child that was paused by SIGSTOP handles other signals only after SIGCONT.
        child.kill("SIGCONT");
    }
}

/**
 * Exits on SIGTERM unless another handler is installed. A test file that exceeds its timeout is ended by SIGTERM; without
 * an orderly exit the `exit` handler does not run and the children keep running.
 */
function exitUnlessHandled(): void {
    if (process.listenerCount("SIGTERM") === 0) {
        process.exit(sigtermExitCode);
    }
}

/**
 * Kills a child process when this process exits, also when SIGTERM ends it.
 * @param child - The child process.
 */
export function endWithParent(child: ChildProcess): void {
    if (!hasInstalledHandlers) {
        hasInstalledHandlers = true;
        process.once("exit", killChildren);
        process.once("SIGTERM", exitUnlessHandled);
    }
    children.add(child);
    child.once("exit", () => children.delete(child));
}
