/**
 * Provides the base class of operators' commands: flags that identify the site, exit codes, and error output.
 */
import { Command, Flags } from "@oclif/core";
import type { Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { type Failure, systemClock } from "../common/index.js";
import {
    type Change,
    type ConfigurationReader,
    getRequiredFormat,
    parseConfigurationFile,
    type RecordResult,
    type Tree,
} from "../configuration/index.js";
import { oldestProtocol } from "../membership/index.js";
import { formatValidationError, parseSiteSettings, type ValidationError } from "../settings/index.js";
import { ControlSession } from "./controlSession.js";
import { exitCodes } from "./exitCodes.js";
import { fetchNodeStatuses } from "./nodeStatus.js";
import { OperatorSession } from "./operatorSession.js";

const millisecondsPerSecond = 1_000;
const progressPauseMilliseconds = 200;

/** Flags that identify a site. */
export interface SiteFlags {
    readonly log?: string;
    readonly "vm-list"?: string;
    readonly site?: string;
    readonly timeout: number;
    readonly author: string;
    readonly "operator-port"?: number;
}

/** Represents a session that must be opened before it is used. */
interface OpenableSession {
    open(): Promise<Result<unknown, Failure>>;
    close(): Promise<void>;
}

/** Flags of commands that publish. */
export interface PublishFlags extends SiteFlags {
    readonly reason: string;
    readonly wait: string;
}

/** Flags of commands that publish, for oclif. */
export const publishFlags = {
    reason: Flags.string({ char: "r", description: "Reason, for the history.", default: "" }),
    wait: Flags.string({
        description: "Condition to wait for: accepted by the log, or in force on every live entry.",
        options: ["accepted", "in-force"],
        default: "accepted",
    }),
};

/** Represents an operator's command. Exit codes: 0 done, 1 refused or superseded, 2 invalid input, 3 platform unavailable. */
export abstract class OperatorCommand extends Command {
    static override enableJsonFlag = true;

    static override baseFlags = {
        log: Flags.string({ description: "URL of the platform's log.", env: "RATTANLOCK_LOG" }),
        "vm-list": Flags.string({ description: "URL of the platform's VM list.", env: "RATTANLOCK_VM_LIST" }),
        site: Flags.string({ description: "INI file that contains both URLs.", env: "RATTANLOCK_SITE" }),
        timeout: Flags.integer({ description: "Timeout for the platform, in seconds.", default: 15, min: 1 }),
        author: Flags.string({
            description: "Name of the operator who publishes.",
            default: async () => userInfo().username,
        }),
        "operator-port": Flags.integer({ description: "Entries' port for operators, if the VM list contains none." }),
    };

    /** Reads a configuration file, with its path relative to the working directory. */
    protected readTree(file: string): Tree {
        const tree = parseConfigurationFile(this.readFile(file), file);
        return tree.isOk() ? tree.value : this.failWithErrors(tree.error);
    }

    /** Opens a session with the site's configuration, runs a function with it, and closes it. */
    protected async withSession<T>(flags: SiteFlags, work: (session: OperatorSession) => Promise<T>): Promise<T> {
        const session = new OperatorSession({
            logUrl: this.#getUrl(flags, "log"),
            clock: systemClock,
            timeoutMilliseconds: flags.timeout * millisecondsPerSecond,
            author: flags.author,
        });
        return this.#useSession(session, work);
    }

    /** Opens a session with the site's control stream, runs a function with it, and closes it. */
    protected async withControl<T>(flags: SiteFlags, work: (session: ControlSession) => Promise<T>): Promise<T> {
        const session = new ControlSession({
            logUrl: this.#getUrl(flags, "log"),
            clock: systemClock,
            timeoutMilliseconds: flags.timeout * millisecondsPerSecond,
            author: flags.author,
        });
        return this.#useSession(session, work);
    }

    async #useSession<Session extends OpenableSession, T>(
        session: Session,
        work: (session: Session) => Promise<T>,
    ): Promise<T> {
        try {
            const opened = await session.open();
            return opened.isErr() ? this.failWith(opened.error) : await work(session);
        }
        finally {
            await session.close();
        }
    }

    /** Exits with an error because the request was refused. */
    protected failRefused(message: string): never {
        return this.error(message, { exit: exitCodes.refused });
    }

    /** Reads the site's configuration and closes the session. */
    protected readConfiguration(flags: SiteFlags): Promise<ConfigurationReader> {
        return this.withSession(flags, async session => session.reader);
    }

    /** Publishes changes, waits as the flags require, and exits with the reason if the changes were not accepted. */
    protected async publishChanges(
        session: OperatorSession,
        changes: readonly Change[],
        basedOn: number,
        flags: PublishFlags,
    ): Promise<RecordResult> {
        // Checked first, so that a missing URL is reported before the change is published.
        const vmListUrl = flags.wait === "in-force" ? this.#getUrl(flags, "vm-list") : undefined;
        await this.#checkFormatSupport(changes, flags);
        const published = await session.publish(changes, basedOn, flags.reason);
        if (published.isErr()) {
            return this.failWith(published.error);
        }
        const result = published.value;
        if (result.outcome !== "accepted") {
            this.failRejected(result);
        }
        this.log(`Accepted at offset ${result.offset}: ${changes.length} change(s).`);
        if (vmListUrl !== undefined) {
            await this.#waitUntilInForce(vmListUrl, result.offset, flags);
        }
        return result;
    }

    /** Fetches the status of every entry. */
    protected async fetchStatuses(flags: SiteFlags) {
        const statuses = await fetchNodeStatuses(this.#getUrl(flags, "vm-list"), flags["operator-port"]);
        return statuses.isOk() ? statuses.value : this.failWith(statuses.error);
    }

    /** Exits with all errors of a file. */
    protected failWithErrors(errors: readonly ValidationError[]): never {
        return this.error(errors.map(formatValidationError).join("\n"), { exit: exitCodes.badInput });
    }

    /** Exits with a failure. */
    protected failWith(failure: Failure): never {
        const isInput = failure.kind === "invalid-input";
        return this.error(failure.message, { exit: isInput ? exitCodes.badInput : exitCodes.platformUnavailable });
    }

    /** Exits with the result of a rejected record. */
    protected failRejected(result: RecordResult): never {
        const lines = [`Rejected at offset ${result.offset}.`];
        if (result.beatenBy !== undefined) {
            const { author, offset, section, key } = result.beatenBy;
            lines.push(
                `${author} changed [${section}] ${key} first, at offset ${offset}. Compare again and publish again.`,
            );
        }
        for (const { section, key, message, remedy } of result.mistakes) {
            lines.push(`[${section}] ${key}: ${message} ${remedy}`);
        }
        if (result.withdrawn.length > 0) {
            lines.push(`Withdrawn nevertheless: ${result.withdrawn.join(", ")}.`);
        }
        return this.error(lines.join("\n"), { exit: exitCodes.refused });
    }

    /**
     * Checks that every live entry supports the record format that the changes require. An entry of an older release stops
     * at a record of a newer format, keeps its old tree and finally refuses new work.
     */
    async #checkFormatSupport(changes: readonly Change[], flags: PublishFlags): Promise<void> {
        const format = getRequiredFormat(changes.map(change => change.section));
        if (format <= oldestProtocol) {
            return;
        }
        const nodes = (await this.fetchStatuses(flags)).filter(node => node.state === "live");
        const incompatible = nodes.filter(node => (node.protocol ?? oldestProtocol) < format);
        if (incompatible.length > 0) {
            const names = incompatible.map(node => node.id).join(", ");
            this.failRefused(
                `The change requires record format ${format}, and these entries do not report support for it: ${names}. Upgrade `
                    + "these entries to the newer release, or start them, and publish again.",
            );
        }
    }

    async #waitUntilInForce(vmListUrl: string, offset: number, flags: PublishFlags): Promise<void> {
        const deadline = systemClock.monotonic() + flags.timeout * millisecondsPerSecond;
        for (;;) {
            const statuses = await fetchNodeStatuses(vmListUrl, flags["operator-port"]);
            const live = statuses.unwrapOr([]).filter(node => node.state === "live");
            const pending = live.filter(node => (node.configurationOffset ?? -1) <= offset);
            process.stderr.write(`in force on ${live.length - pending.length} of ${live.length} entries\n`);
            if (live.length > 0 && pending.length === 0) {
                return;
            }
            if (systemClock.monotonic() > deadline) {
                const names = pending.map(node => node.id).join(", ");
                const message = `The change is accepted, but not confirmed as in force on: ${names || "any entry"}.`;
                this.error(`${message} See \`rattanlock status\`.`, { exit: exitCodes.platformUnavailable });
            }
            await new Promise(resolve => setTimeout(resolve, progressPauseMilliseconds));
        }
    }

    /** Returns the URL of a platform service, or undefined if neither the flags nor the site file contain it. */
    protected findUrl(flags: SiteFlags, name: "log" | "vm-list"): string | undefined {
        return flags[name] ?? this.#readSite(flags, name);
    }

    #getUrl(flags: SiteFlags, name: "log" | "vm-list"): string {
        const url = this.findUrl(flags, name);
        if (url === undefined || !URL.canParse(url)) {
            const message = `No valid URL for the ${name} is configured. Use --${name} URL or --site FILE.`;
            return this.error(message, { exit: exitCodes.badInput });
        }
        return url;
    }

    #readSite(flags: SiteFlags, name: "log" | "vm-list"): string | undefined {
        if (flags.site === undefined) {
            return undefined;
        }
        const site = parseSiteSettings(this.readFile(flags.site), flags.site);
        if (site.isErr()) {
            return this.failWithErrors(site.error);
        }
        return name === "log" ? site.value.logUrl : site.value.vmListUrl;
    }

    /** Reads a file, or exits with an error if the file cannot be read. */
    protected readFile(file: string): string {
        try {
            return readFileSync(file, "utf8");
        }
        catch {
            return this.error(`${file} cannot be read. Check its path and permissions.`, { exit: exitCodes.badInput });
        }
    }
}
