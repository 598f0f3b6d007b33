/**
 * What a run of the measurement `limits` saw, and the figures drawn from it.
 */
import { limitsTimes } from "./limitsTrial.js";
import { getQuantile, getRange } from "./statistics.js";

/** An answer that was given. */
export interface RecordedAnswer {
    readonly workspace: string;
    readonly priority: number;
    readonly attemptedAt: number;
    readonly firstTokenAt: number;
    /** From the caller's first ask, refused returns included. */
    readonly sinceFirstAttempt: number;
    readonly isInTime: boolean;
}

/** A refusal that was given. */
export interface RecordedRefusal {
    readonly workspace: string;
    readonly priority: number;
    readonly at: number;
    /** How long the caller waited for it. */
    readonly waitMilliseconds: number;
}

/** Part of the usual goodput that counts as recovered. */
const recoveredShare = 0.9;
const recoveryWindowSeconds = 5;

/** Names a workspace, or all whose names begin so. */
type WorkspacePrefix = string;

/** Record of one run. */
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

    /** Notes a caller's first ask. */
    addRequest(workspace: string, now: number): void {
        this.#requests[Math.floor(now / 1_000)] += 1;
        if (isMeasured(now)) {
            this.#requestsByWorkspace.set(workspace, (this.#requestsByWorkspace.get(workspace) ?? 0) + 1);
        }
    }

    /** Notes an ask, the first or a return. */
    addAttempt(now: number): void {
        this.#attempts[Math.floor(now / 1_000)] += 1;
    }

    /** Notes an answer. */
    addAnswer(answer: RecordedAnswer): void {
        this.#answers.push(answer);
    }

    /** Notes a refusal. */
    addRefusal(refusal: RecordedRefusal): void {
        this.#refusals.push(refusal);
    }

    /** Returns the answers in time between two seconds, as a part of the capacity. */
    getGoodput(from: number, to: number): number {
        const good = this.#answers.filter(answer => answer.isInTime && isBetween(answer.firstTokenAt, from, to));
        return good.length / this.#capacityPerSecond / (to - from);
    }

    /** Returns a quantile of the time to the first token of workspaces' answers, from each ask that was let in. */
    getFirstToken(workspaces: WorkspacePrefix, share: number): number {
        const workspaceAnswers = this.#answers.filter(answer =>
            answer.workspace.startsWith(workspaces) && isMeasured(answer.attemptedAt)
        );
        return getQuantile(workspaceAnswers.map(answer => answer.firstTokenAt - answer.attemptedAt), share);
    }

    /** Returns the part of workspaces' requests that were answered in time in the end. */
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

    /** Returns the part of a workspace's asks of a priority that were refused. */
    getRefusedShare(workspace: string, priority: number): number {
        const isOwn = (item: { readonly workspace: string; readonly priority: number; }): boolean =>
            item.workspace === workspace && item.priority === priority;
        const refused = this.#refusals.filter(refusal => isOwn(refusal) && isMeasured(refusal.at)).length;
        const answered = this.#answers.filter(answer => isOwn(answer) && isMeasured(answer.attemptedAt)).length;
        return refused / Math.max(1, refused + answered);
    }

    /** Returns how many answers two workspaces got, as a ratio. */
    getRatio(workspace: string, other: string): number {
        const count = (name: string): number =>
            this.#answers.filter(answer => answer.workspace === name && isMeasured(answer.attemptedAt)).length;
        return count(workspace) / Math.max(1, count(other));
    }

    /** Returns a quantile of the time that a refusal took. */
    getRefusalTime(share: number): number {
        const measured = this.#refusals.filter(refusal => isMeasured(refusal.at));
        return getQuantile(measured.map(refusal => refusal.waitMilliseconds), share);
    }

    /** Returns the part of refusals that took more than 50 ms. */
    getLateRefusals(): number {
        const measured = this.#refusals.filter(refusal => isMeasured(refusal.at));
        return measured.filter(refusal => refusal.waitMilliseconds > 50).length / Math.max(1, measured.length);
    }

    /** Returns how many asks there were for each first ask. */
    getAttemptsPerRequest(): number {
        return sum(this.#attempts, limitsTimes.measureFrom, limitsTimes.end)
            / sum(this.#requests, limitsTimes.measureFrom, limitsTimes.end);
    }

    /** Returns the greatest number of asks in a second, as a part of the capacity. */
    getPeakAttempts(): number {
        return Math.max(...this.#attempts.slice(limitsTimes.measureFrom, limitsTimes.end)) / this.#capacityPerSecond;
    }

    /** Returns the seconds from the end of the brown-out until five seconds in a row give the usual goodput. */
    getRecoverySeconds(): number {
        const usual = this.getGoodput(limitsTimes.measureFrom, limitsTimes.brownOutFrom);
        for (let at = limitsTimes.brownOutTo; at < limitsTimes.end - recoveryWindowSeconds; at += 1) {
            if (this.getGoodput(at, at + recoveryWindowSeconds) >= recoveredShare * usual) {
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
