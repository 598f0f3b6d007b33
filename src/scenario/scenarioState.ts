/**
 * What a scenario remembers from step to step.
 */
import type { SentReply } from "./reply.js";
import type { ScenarioSite } from "./scenarioSite.js";

const variablePattern = /\$\{([\w-]+)\}/g;

/** Variables, requests under way and the newest published offset. */
export class ScenarioState {
    /** The site that the scenario drives. */
    readonly site: ScenarioSite;
    /** Offset of the last record that the scenario published. */
    lastOffset = -1;
    readonly #variables = new Map<string, string>();
    readonly #replies = new Map<string, Promise<SentReply>>();

    constructor(site: ScenarioSite) {
        this.site = site;
    }

    /** Sets a variable. */
    setVariable(name: string, value: string): void {
        this.#variables.set(name, value);
    }

    /** Puts the values of variables in the place of `${NAME}`; an unknown name stays as it is. */
    expand(text: string): string {
        return text.replace(variablePattern, (whole, name: string) => this.#variables.get(name) ?? whole);
    }

    /** Keeps a request under its name. */
    setReply(name: string, reply: Promise<SentReply>): void {
        this.#replies.set(name, reply);
    }

    /** Returns what a request ends with. */
    getReply(name: string): Promise<SentReply> | undefined {
        return this.#replies.get(name);
    }

    /** Waits until every request has ended, so that none outlives its site. */
    async waitForReplies(): Promise<void> {
        await Promise.all(this.#replies.values());
    }
}
