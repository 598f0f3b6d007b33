/**
 * State that the steps of a scenario share.
 */
import type { SentReply } from "./reply.js";
import type { ScenarioSite } from "./scenarioSite.js";

const variablePattern = /\$\{([\w-]+)\}/g;

/** Holds variables, pending replies and the last published offset. */
export class ScenarioState {
    /** The site that the scenario controls. */
    readonly site: ScenarioSite;
    /** Offset of the last record that the scenario published; -1 if there is none. */
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

    /** Replaces each `${NAME}` by the value of the variable. Unknown names stay unchanged. */
    expand(text: string): string {
        return text.replace(variablePattern, (placeholder, name: string) => this.#variables.get(name) ?? placeholder);
    }

    /** Stores the pending reply to the request with the given name. */
    setReply(name: string, reply: Promise<SentReply>): void {
        this.#replies.set(name, reply);
    }

    /** Returns the reply to the request with the given name, or undefined if no such request was sent. */
    getReply(name: string): Promise<SentReply> | undefined {
        return this.#replies.get(name);
    }

    /** Waits until every request has ended, so that none is in flight when the site stops. */
    async waitForReplies(): Promise<void> {
        await Promise.all(this.#replies.values());
    }
}
