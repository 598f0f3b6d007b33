/**
 * Events of processes: start, stop, settings and credentials. Numbers from 100.
 */
import { define } from "./eventDefinition.js";

/** Events of processes: start, stop, settings and credentials. */
export const processEvents = {
    processStarted: define(100, "process-started", "info", "A process listens and is ready to accept work."),
    processStopping: define(
        101,
        "process-stopping",
        "info",
        "A process was requested to stop and finishes the work in flight.",
    ),
    processStopped: define(
        102,
        "process-stopped",
        "info",
        "A process finished the work in flight and exits with code 0.",
    ),
    credentialsRenewed: define(
        103,
        "credentials-renewed",
        "info",
        "Renewed certificates are in use for new connections.",
    ),
    credentialsUnreadable: define(
        104,
        "credentials-unreadable",
        "warning",
        "Renewed certificates cannot be read; the previous ones stay in use.",
    ),
    settingsReloaded: define(105, "settings-reloaded", "info", "A changed settings file is in force."),
    settingsRefused: define(
        106,
        "settings-refused",
        "error",
        "A changed settings file contains errors; the previous settings stay in force.",
    ),
    compiledCodeRefused: define(
        107,
        "compiled-code-refused",
        "warning",
        "The cached compiled code does not match this release or its flags; starts take twice as long until it is rebuilt.",
    ),
    memoryLimitMissing: define(
        108,
        "memory-limit-missing",
        "info",
        "The settings give no memory limit; a default one bounds what waits for callers.",
    ),
    processBehind: define(
        109,
        "process-behind",
        "warning",
        "The process read nothing from its connections for the given time; requests that it reads next may have waited as long.",
    ),
    linesLeftOut: define(
        110,
        "lines-left-out",
        "warning",
        "The given number of log lines was dropped to bound the volume.",
    ),
};
