/**
 * Records the requests of one run of the measurement `limits` and computes its figures.
 */
import { limitsTimes } from "./limitsTimes.js";
import { getQuantile, getRange } from "./statistics.js";

/** An answered attempt. */
export interface RecordedAnswer {
    readonly workspace: string;
    readonly priority: number;
    readonly attemptedAt: number;
    readonly firstTokenAt: number;
    /** Milliseconds from the caller's first attempt to the first token, including refused attempts. */
    readonly millisecondsSinceFirstAttempt: number;
    readonly isInTime: boolean;
}

/** A refused attempt. */
export interface RecordedRefusal {
    readonly workspace: string;
    readonly priority: number;
    readonly at: number;
    /** How long the caller waited for the refusal. */
    readonly waitMilliseconds: number;
}

/** Share of the goodput before the brown-out that counts as recovered. */
const recoveredShare = 0.9;
const recoveryWindowSeconds = 5;

/** The name of a workspace, or a prefix that stands for all workspaces whose names start with it. */
type WorkspacePrefix = string;

/** Records one run. */
export class LimitsRecord {
    readonly #capacityPerSecond: number;
    readonly #answers: RecordedAnswer[] = [];
    readonly #refusals: RecordedRefusal[] = [];
    readonly #attempts: number[] = getRange(limitsTimes.end + 200).map(() => 0);
    readonly #requests: number[] = getRange(limitsTimes.end + 200).map(() => 0);
    readonly #requestsByWorkspace = new Map<string, number>();

    constructor(capacityPerSecond: number) {
        this.#capacityPerSecond = capacityPerSecond;
    }

    /** Records a caller's first attempt. */
    addRequest(workspace: string, now: number): void {
        this.#requests[Math.floor(now / 1_000)] += 1;
        if (isMeasured(now)) {
            this.#requestsByWorkspace.set(workspace, (this.#requestsByWorkspace.get(workspace) ?? 0) + 1);
        }
    }

    /** Records an attempt: the first one or a retry. */
    addAttempt(now: number): void {
        this.#attempts[Math.floor(now / 1_000)] += 1;
    }

    /** Records an answer. */
    addAnswer(answer: RecordedAnswer): void {
        this.#answers.push(answer);
    }

    /** Records a refusal. */
    addRefusal(refusal: RecordedRefusal): void {
        this.#refusals.push(refusal);
    }

    /** Returns the rate of answers in time between two seconds of the run, as a share of the capacity. */
    getGoodput(from: number, to: number): number {
        const good = this.#answers.filter(answer => answer.isInTime && isBetween(answer.firstTokenAt, from, to));
        return good.length / this.#capacityPerSecond / (to - from);
    }

    /** Returns a quantile of the workspaces' time to first token in milliseconds, from the admitted attempt on. */
    getFirstToken(workspaces: WorkspacePrefix, share: number): number {
        const workspaceAnswers = this.#answers.filter(answer =>
            answer.workspace.startsWith(workspaces) && isMeasured(answer.attemptedAt)
        );
        return getQuantile(workspaceAnswers.map(answer => answer.firstTokenAt - answer.attemptedAt), share);
    }

    /** Returns the share of the workspaces' requests that were finally answered in time. */
    getServedShare(workspaces: WorkspacePrefix): number {
        const workspaceAnswers = this.#answers.filter(answer =>
            answer.workspace.startsWith(workspaces) && answer.isInTime && isMeasured(answer.attemptedAt)
        );
        let requested = 0;
        for (const [workspace, count] of this.#requestsByWorkspace) {
            requested += workspace.startsWith(workspaces) ? count : 0;
        }
        return workspaceAnswers.length / Math.max(1, requested);
    }

    /** Returns the share of a workspace's attempts of one priority that were refused. */
    getRefusedShare(workspace: string, priority: number): number {
        const isCounted = (item: { readonly workspace: string; readonly priority: number; }): boolean =>
            item.workspace === workspace && item.priority === priority;
        const refused = this.#refusals.filter(refusal => isCounted(refusal) && isMeasured(refusal.at)).length;
        const answered = this.#answers.filter(answer => isCounted(answer) && isMeasured(answer.attemptedAt)).length;
        return refused / Math.max(1, refused + answered);
    }

    /** Returns the ratio of the answers that two workspaces received. */
    getRatio(workspace: string, other: string): number {
        const count = (name: string): number =>
            this.#answers.filter(answer => answer.workspace === name && isMeasured(answer.attemptedAt)).length;
        return count(workspace) / Math.max(1, count(other));
    }

    /** Returns a quantile of the time until a refusal, in milliseconds. */
    getRefusalTime(share: number): number {
        const measured = this.#refusals.filter(refusal => isMeasured(refusal.at));
        return getQuantile(measured.map(refusal => refusal.waitMilliseconds), share);
    }

    /** Returns the share of refusals that took more than 50 ms. */
    getLateRefusals(): number {
        const measured = this.#refusals.filter(refusal => isMeasured(refusal.at));
        return measured.filter(refusal => refusal.waitMilliseconds > 50).length / Math.max(1, measured.length);
    }

    /** Returns the number of attempts per request. */
    getAttemptsPerRequest(): number {
        return sum(this.#attempts, limitsTimes.measureFrom, limitsTimes.end)
            / sum(this.#requests, limitsTimes.measureFrom, limitsTimes.end);
    }

    /** Returns the maximum number of attempts in a second, as a multiple of the capacity. */
    getPeakAttempts(): number {
        return Math.max(...this.#attempts.slice(limitsTimes.measureFrom, limitsTimes.end)) / this.#capacityPerSecond;
    }

    /**
     * Returns the seconds from the end of the brown-out until the goodput over five seconds in a row has recovered.
     * @returns The time to the end of the run if the goodput does not recover.
     */
    getRecoverySeconds(): number {
        const goodputBefore = this.getGoodput(limitsTimes.measureFrom, limitsTimes.brownOutFrom);
        for (let at = limitsTimes.brownOutTo; at < limitsTimes.end - recoveryWindowSeconds; at += 1) {
            if (this.getGoodput(at, at + recoveryWindowSeconds) >= recoveredShare * goodputBefore) {
                return at - limitsTimes.brownOutTo;
            }
        }
        return limitsTimes.end - limitsTimes.brownOutTo;
    }
}

function isMeasured(now: number): boolean {
    return isBetween(now, limitsTimes.measureFrom, limitsTimes.end);
}

function isBetween(now: number, from: number, to: number): boolean {
    return now >= from * 1_000 && now < to * 1_000;
}

function sum(counts: readonly number[], from: number, to: number): number {
    let total = 0;
    for (const count of counts.slice(from, to)) {
        total += count;
    }
    return total;
}
