/**
 * Decides when this node's requests at one pool begin, and which are turned away.
 *
 * While the upstreams report free slots, each request begins at once. At a full pool, requests wait in order and begin at the rate of
 * the node's share. Whoever cannot be answered in time is turned away as soon as that is known, without having run.
 */
import type { Clock, RandomSource } from "../../common/index.js";
import type { Schedule } from "../limits/admission.js";
import { RefusedCallers } from "../limits/refusedCallers.js";
import { RetrySchedule } from "../limits/retrySchedule.js";
import { BeginCredit, neededCredits } from "./beginCredit.js";
import { type BelievedLoad, type LoadedUpstream, PoolLoad } from "./poolLoad.js";
import type { RoomBasis, RoomDecision, RoomRefusalReason, RoomRequest } from "./roomDecision.js";
import type { RoomOptions } from "./roomOptions.js";
import { getBeginRate, getNodeShare, getPriorityRoom } from "./roomRate.js";
import { type NextRequest, type RoomItem, type Turn, WaitingRequests } from "./waitingRequests.js";

/** Options of `RoomGate`. */
export interface RoomGateOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly schedule: Schedule;
    /** Returns the available upstreams of the pool. */
    readonly getAvailable: () => readonly LoadedUpstream[];
    /** Returns the number of nodes that may send requests to the pool. */
    readonly getNodeCount: () => number;
    readonly room: RoomOptions;
}

/** Length of a slot of the schedule of retries, and the time it covers. */
const retrySlotMilliseconds = 100;
const retryScheduleMilliseconds = 60_000;
/** Retries return over this last part of the time that they have at most. */
const retrySpread = 0.25;
/** Factor of the expected wait of a waiting request. Estimates vary, so a request is not turned away at the first doubt. */
const sweepDoubt = 0.5;
/** Share of a workspace in its priority. */
const workspaceShare = 1;

interface Waiting extends RoomItem {
    readonly request: RoomRequest;
    readonly resolve: (decision: RoomDecision) => void;
    readonly objectiveAt: number;
    dueAt: number;
    turn: Turn;
}

/** The room of one pool at one node. */
export class RoomGate {
    readonly load = new PoolLoad();
    readonly #options: RoomGateOptions;
    readonly #waiting: WaitingRequests<Waiting>;
    readonly #retries: RetrySchedule;
    readonly #refused: RefusedCallers;
    readonly #credit = new BeginCredit();
    #sweptAt = 0;
    #initialServiceMilliseconds = 1;
    #cancelTimer: (() => void) | undefined;
    /** Whether a request was begun since the load became unknown, so that its answer reports the load. */
    #hasProbed = false;

    constructor(options: RoomGateOptions) {
        this.#options = options;
        this.#waiting = new WaitingRequests(options.room.bounds);
        this.#retries = new RetrySchedule(options.random, retryScheduleMilliseconds, retrySlotMilliseconds);
        this.#refused = new RefusedCallers(options.room.maxTrackedCallers);
    }

    /** Returns the number of waiting requests. */
    getWaiting(): number {
        return this.#waiting.getSize();
    }

    /** Returns the requests of all nodes as a share of the slots, or undefined when no recent report is known. */
    getOccupancy(): number | undefined {
        const load = this.#getLoad();
        return load && load.requests / load.slots;
    }

    /** Returns the part of the pool's room that this node may use; undefined when the load is not known. */
    getShare(): number | undefined {
        const load = this.#getLoad();
        return load && this.#getShare(load);
    }

    /** Returns whether a new request of a priority would begin at once. */
    hasRoom(priority: number): boolean {
        const load = this.#getLoad();
        return load === undefined ? this.#getLoadOfWaiting() === undefined : this.#mayPass(load, priority);
    }

    /** Returns the expected time until a new request of a priority would begin, in milliseconds. */
    getWaitMilliseconds(priority: number): number {
        const load = this.#getLoad();
        return load === undefined || this.#mayPass(load, priority)
            ? 0
            : this.#getWait(load, { priority, turn: "timely" }, this.#waiting.countAhead(priority));
    }

    /**
     * Asks for room.
     * @param request - The request.
     * @param resolve - Called with the decision, at most once.
     * @returns Ends the wait without a decision, for a caller that has left.
     */
    offer(request: RoomRequest, resolve: (decision: RoomDecision) => void): () => void {
        const item = this.#createItem(request, resolve);
        const load = this.#getLoad() ?? this.#getLoadOfWaiting();
        if (load === undefined || this.hasRoom(request.priority)) {
            this.#waiting.addPassage(item, item.since);
            resolve({ kind: "begin", hasWaited: false, basis: this.#createBasis(item, 0) });
            return () => {};
        }
        this.#offerAtFullPool(load, item);
        return () => this.#waiting.remove(item);
    }

    /** Begins waiting requests that there is room for, and turns away those that can no longer be served. */
    update(): void {
        const now = this.#options.clock.monotonic();
        if (this.#waiting.getSize() === 0) {
            return;
        }
        this.#beginWaiting(now);
        if (now - this.#sweptAt >= this.#options.room.sweepMilliseconds) {
            this.#sweptAt = now;
            this.#sweep(now);
        }
        this.#setTimer();
    }

    #offerAtFullPool(load: BelievedLoad, item: Waiting): void {
        const { request, since } = item;
        this.#initialServiceMilliseconds = Math.max(this.#initialServiceMilliseconds, request.objectiveMilliseconds);
        const notBefore = this.#getNotBefore(request);
        if (notBefore !== undefined && since < notBefore) {
            this.#waiting.addRefusal(item, since);
            item.resolve({
                kind: "turned-away",
                reason: "early",
                retryAfterMilliseconds: Math.min(notBefore - since, this.#getMaxRetryAfter(item, since)),
                basis: this.#createBasis(item, notBefore - since),
            });
            return;
        }
        this.#addCredit(load, since);
        if (notBefore !== undefined) {
            item.dueAt = since;
        }
        const wait = this.#getArrivalWait(load, item);
        if (since + wait + this.load.getHeadMilliseconds() > item.deadlineAt) {
            this.#turnAway(item, "late", wait);
            return;
        }
        for (const removed of this.#waiting.add(item)) {
            this.#turnAway(removed, "crowded", wait);
        }
        if (this.#cancelTimer === undefined || this.#credit.get() >= neededCredits.timely) {
            this.update();
        }
    }

    #getNotBefore({ getCaller }: RoomRequest): number | undefined {
        const caller = this.#refused.getSize() === 0 ? undefined : getCaller();
        return caller === undefined ? undefined : this.#refused.getNotBefore(caller);
    }

    /** Forgets the refusal of a caller whose request begins. */
    #removeRefusal({ getCaller }: RoomRequest): void {
        const caller = this.#refused.getSize() === 0 ? undefined : getCaller();
        if (caller !== undefined) {
            this.#refused.remove(caller);
        }
    }

    #getArrivalWait(load: BelievedLoad, item: Waiting): number {
        const { priority, workspace } = item;
        if (this.#waiting.isStarved(priority, workspace)) {
            return (this.#waiting.countWaiting(priority, workspace) + 1 - this.#credit.get()) / this.#getRate(load);
        }
        return this.#getWait(load, item, this.#waiting.countAhead(priority, item));
    }

    /** Returns the expected wait behind other requests. */
    #getWait(load: BelievedLoad, { priority, turn }: Pick<Waiting, "priority" | "turn">, ahead: number): number {
        return Math.max(0, ahead + 1 - this.#credit.get()) / this.#getRateLeft(load, priority, turn);
    }

    /** Returns the rate that is left by requests which will arrive and go first. */
    #getRateLeft(load: BelievedLoad, priority: number, turn: Turn): number {
        const rate = this.#getRate(load);
        const now = this.#options.clock.monotonic();
        const left = rate - this.#waiting.getMoreUrgentRate(turn === "late" ? priority + 1 : priority, now);
        return Math.max(this.#options.room.minRateShare * rate, left);
    }

    #beginWaiting(now: number): void {
        const known = this.#getLoad();
        const load = known ?? this.#getLoadOfWaiting();
        this.#hasProbed &&= known === undefined;
        for (let next = this.#findNext(now); next !== undefined; next = this.#findNext(now)) {
            if (load !== undefined && !this.#isProbe(known) && !this.#takeCredit(load, next, now)) {
                return;
            }
            this.#waiting.begin(next.item, now);
            this.#removeRefusal(next.item.request);
            next.item.resolve({ kind: "begin", hasWaited: true, basis: this.#createBasis(next.item, 0) });
        }
    }

    /** Returns whether a request is the one that begins to learn an unknown load. */
    #isProbe(known: BelievedLoad | undefined): boolean {
        const isProbe = known === undefined && !this.#hasProbed;
        this.#hasProbed ||= isProbe;
        return isProbe;
    }

    /** Finds the next request, after moving back those that miss their objective and turning away those that miss their deadline. */
    #findNext(now: number): NextRequest<Waiting> | undefined {
        for (;;) {
            const next = this.#waiting.findNext();
            if (next !== undefined && now + this.load.getHeadMilliseconds() > next.item.deadlineAt) {
                this.#waiting.remove(next.item);
                this.#turnAway(next.item, "late", 0);
                continue;
            }
            if (next === undefined || next.item.turn === "late" || !this.#isLate(next.item, now)) {
                return next;
            }
            this.#makeLate(next.item);
        }
    }

    #isLate({ objectiveAt }: Waiting, now: number): boolean {
        return now + this.load.getHeadMilliseconds() > objectiveAt;
    }

    #makeLate(item: Waiting): void {
        this.#waiting.remove(item);
        item.turn = "late";
        this.#waiting.add(item);
    }

    /** Takes the credit of one request if there is enough, and room for its priority. */
    #takeCredit(load: BelievedLoad, { item, isStarved }: NextRequest<Waiting>, now: number): boolean {
        this.#addCredit(load, now);
        const { maxOccupancy } = this.#getPriorityRoom(load, isStarved ? 0 : item.priority);
        return (load.requests < maxOccupancy * load.slots || this.#getLoad() === undefined)
            && this.#credit.tryTake(isStarved ? neededCredits.timely : neededCredits[item.turn]);
    }

    #addCredit(load: BelievedLoad, now: number): void {
        const { creditMilliseconds, recoveryFactor } = this.#options.room;
        const hasRoom = load.requests < load.slots && this.#getLoad() !== undefined;
        const rate = this.#getRate(load) * (hasRoom ? recoveryFactor : 1);
        this.#credit.add(rate, { now, max: Math.max(neededCredits.late, rate * creditMilliseconds) });
    }

    #sweep(now: number): void {
        const load = this.#getLoadOfWaiting();
        if (load === undefined) {
            return;
        }
        const head = this.load.getHeadMilliseconds();
        const lost: { readonly item: Waiting; readonly wait: number; }[] = [];
        for (const { priority, turn, ahead, workspaces, items } of this.#waiting.getQueues()) {
            const rate = this.#getRateLeft(load, priority, turn);
            for (const [index, item] of items.entries()) {
                const wait = (ahead + index * workspaces) / rate;
                if (now + wait * sweepDoubt + head > item.deadlineAt) {
                    lost.push({ item, wait });
                }
            }
        }
        for (const { item, wait } of lost) {
            this.#waiting.remove(item);
            this.#turnAway(item, "late", wait);
        }
    }

    #turnAway(item: Waiting, reason: RoomRefusalReason, wait: number): void {
        const now = this.#options.clock.monotonic();
        const retryAfterMilliseconds = this.#getRetryAfter(item, wait, now);
        this.#waiting.addRefusal(item, now);
        const caller = item.request.getCaller();
        if (caller !== undefined) {
            this.#refused.add(caller, { notBefore: now + retryAfterMilliseconds, earlyRetries: 0 });
        }
        const basis = this.#createBasis(item, wait);
        item.resolve({ kind: "turned-away", reason, retryAfterMilliseconds, basis });
    }

    /** Returns when room is expected for a caller: after those refused before it, within the time that it can spare. */
    #getRetryAfter(item: Waiting, wait: number, now: number): number {
        const { minRetryMilliseconds } = this.#options.room;
        const max = this.#getMaxRetryAfter(item, now);
        const load = this.#getLoad();
        const scheduled = this.#retries.add(now, {
            minMilliseconds: Math.min(max, Math.max(minRetryMilliseconds, wait)),
            retriesPerSecond: load === undefined ? 1 : this.#getRate(load) * 1_000,
        });
        return Math.min(scheduled, max * (1 - retrySpread * this.#options.random.next()));
    }

    #getMaxRetryAfter({ deadlineAt }: Waiting, now: number): number {
        const { maxRetryShare, minRetryMilliseconds } = this.#options.room;
        return Math.max(minRetryMilliseconds, (deadlineAt - now) * maxRetryShare);
    }

    #mayPass(load: BelievedLoad, priority: number): boolean {
        return load.requests < load.slots * this.#getPriorityRoom(load, priority).passOccupancy
            && this.#waiting.countAhead(priority) === 0;
    }

    #getPriorityRoom(load: BelievedLoad, priority: number) {
        const now = this.#options.clock.monotonic();
        const ownRate = this.#waiting.getMoreUrgentRate(priority, now);
        const hold = this.load.getHoldMilliseconds(load.requests / load.slots, this.#initialServiceMilliseconds);
        const expected = ownRate * hold * this.#options.getNodeCount();
        return getPriorityRoom(load, expected, this.#options.room.maxHeadroom);
    }

    #getRate(load: BelievedLoad): number {
        return getBeginRate(this.load, load, {
            now: this.#options.clock.monotonic(),
            nodes: this.#options.getNodeCount(),
            initialServiceMilliseconds: this.#initialServiceMilliseconds,
            room: this.#options.room,
        });
    }

    #getShare(load: BelievedLoad): number {
        const own = this.load.getSmoothedInFlight(this.#options.clock.monotonic());
        return getNodeShare(own, load, this.#options.getNodeCount(), this.#options.room.equalShare);
    }

    #getLoad(): BelievedLoad | undefined {
        return this.load.get(this.#options.getAvailable(), this.#options.clock.monotonic());
    }

    /** Returns the load by which waiting requests begin: the latest one when it is not known any more. */
    #getLoadOfWaiting(): BelievedLoad | undefined {
        return this.#waiting.getSize() === 0 ? undefined : this.load.getLatest(this.#options.getAvailable());
    }

    #createItem(request: RoomRequest, resolve: (decision: RoomDecision) => void): Waiting {
        const now = this.#options.clock.monotonic();
        const objectiveAt = now + request.objectiveMilliseconds;
        return {
            request,
            resolve,
            workspace: request.workspace,
            priority: request.priority,
            share: workspaceShare,
            tokens: request.work,
            bytes: request.bytes,
            since: now,
            dueAt: objectiveAt,
            objectiveAt,
            deadlineAt: now + request.deadlineMilliseconds,
            turn: this.#getTurn(request, now, objectiveAt),
        };
    }

    #getTurn({ priority, workspace }: RoomRequest, now: number, objectiveAt: number): Turn {
        if (now + this.load.getHeadMilliseconds() > objectiveAt) {
            return "late";
        }
        return this.#waiting.isAboveShare(priority, workspace, now) ? "above-share" : "timely";
    }

    #createBasis({ since }: Waiting, expectedWaitMilliseconds: number): RoomBasis {
        const load = this.#getLoad();
        return {
            waitedMilliseconds: this.#options.clock.monotonic() - since,
            expectedWaitMilliseconds,
            share: load === undefined ? 1 : this.#getShare(load),
            occupancy: load && load.requests / load.slots,
            waiting: this.#waiting.getSize(),
        };
    }

    #setTimer(): void {
        this.#cancelTimer?.();
        this.#cancelTimer = undefined;
        const load = this.#getLoadOfWaiting();
        if (load === undefined) {
            return;
        }
        const untilCredit = Math.ceil((1 - this.#credit.get() % 1) / this.#getRate(load));
        const pause = Math.max(1, Math.min(this.#options.room.maxPauseMilliseconds, untilCredit));
        this.#cancelTimer = this.#options.schedule(pause, () => {
            this.#cancelTimer = undefined;
            this.update();
        });
    }
}
