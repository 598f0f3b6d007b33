/**
 * Children of this process that must not outlive it.
 */
import type { ChildProcess } from "node:child_process";

const sigtermExitCode = 143;

const children = new Set<ChildProcess>();
let hasInstalledHandlers = false;

function killChildren(): void {
    for (const child of children) {
        child.kill("SIGKILL");
        // One that is paused takes no other signal before it goes on.
        child.kill("SIGCONT");
    }
}

/** A test file that takes too long is ended by a signal, which by itself would leave its children running. */
function exitUnlessHandled(): void {
    if (process.listenerCount("SIGTERM") === 0) {
        process.exit(sigtermExitCode);
    }
}

/**
 * Has a child end with this process, also when a signal ends it.
 * @param child - The child.
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
