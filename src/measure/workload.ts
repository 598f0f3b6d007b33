/**
 * Seeded requests for the measurements: short questions, and sessions whose history grows with each turn.
 */
import type { RandomSource } from "../common/index.js";
import { getRange } from "./statistics.js";

/** A randomly drawn request. */
export interface DrawnRequest {
    readonly blocks: readonly string[];
    readonly outputTokens: number;
    readonly entry: number;
}

/** Options of a workload. */
export interface WorkloadOptions {
    readonly entries: number;
    /** Concurrent sessions. */
    readonly sessions: number;
    /** Share of the requests that belong to sessions. */
    readonly sessionShare: number;
    readonly meanOutputTokens: number;
}

const turnsPerSession = 8;
/** Callers keep an entry's address for a while; this share of the turns goes to a randomly drawn entry instead. */
const otherEntryShare = 0.2;
const workspaces = 10;
const commonBlocks = 4;
const firstHistoryBlocks = 24;
const turnBlocks = 4;

interface Session {
    readonly entry: number;
    readonly blocks: string[];
    turns: number;
}

/** Draws requests. */
export class Workload {
    readonly #random: RandomSource;
    readonly #options: WorkloadOptions;
    readonly #sessions: Session[] = [];
    #nextBlock = 0;

    constructor(random: RandomSource, options: WorkloadOptions) {
        this.#random = random;
        this.#options = options;
        for (let index = 0; index < options.sessions; index += 1) {
            const session = this.#createSession();
            session.turns = random.nextInteger(turnsPerSession);
            this.#sessions.push(session);
        }
    }

    /** Draws the next request. */
    draw(): DrawnRequest {
        const outputTokens = 1 + Math.floor(this.#random.nextExponential(this.#options.meanOutputTokens));
        if (this.#random.next() >= this.#options.sessionShare) {
            return { blocks: this.#drawCommonBlocks(), outputTokens, entry: this.#drawEntry() };
        }
        const index = this.#random.nextInteger(this.#sessions.length);
        const session = this.#sessions[index];
        const blocks = [...session.blocks];
        this.#addBlocks(session.blocks, turnBlocks);
        session.turns += 1;
        if (session.turns >= turnsPerSession) {
            this.#sessions[index] = this.#createSession();
        }
        const entry = this.#random.next() < otherEntryShare ? this.#drawEntry() : session.entry;
        return { blocks, outputTokens, entry };
    }

    #createSession(): Session {
        const blocks = this.#drawCommonBlocks();
        this.#addBlocks(blocks, 1 + this.#random.nextInteger(2 * firstHistoryBlocks));
        return { entry: this.#drawEntry(), blocks, turns: 0 };
    }

    #drawEntry(): number {
        return this.#random.nextInteger(this.#options.entries);
    }

    /** Draws a workspace and returns the blocks of the instructions that all its requests start with. */
    #drawCommonBlocks(): string[] {
        const workspace = this.#random.nextInteger(workspaces);
        return getRange(commonBlocks).map(index => `common-${workspace}-${index}`);
    }

    #addBlocks(blocks: string[], count: number): void {
        for (let index = 0; index < count; index += 1) {
            blocks.push(`block-${this.#nextBlock}`);
            this.#nextBlock += 1;
        }
    }
}
