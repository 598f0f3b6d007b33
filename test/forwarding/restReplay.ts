/**
 * Replays a fleet of nodes before upstreams of which some reject everything for a while and ask for rest, in memory and with the
 * nodes' real choice of upstreams.
 */
import { ManualClock, RandomSource } from "../../src/common/index.js";
import { RestLimit, UpstreamPicker } from "../../src/decisions/index.js";
import { Announcements, type RegisteredUpstream } from "../../src/fleet/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream } from "../fixtures/upstreams.js";

const slots = 8;
const serviceMilliseconds = 300;
/** Requests in progress, as a share of all slots. */
const load = 0.4;
const stepMilliseconds = 10;
const needStartsAt = 5_000;
const needEndsAt = 13_000;
const endsAt = 20_000;
const restMilliseconds = 3_000;
const maxAttempts = 3;
const returnMilliseconds = 4_000;
const windowMilliseconds = 200;
const domains = ["north", "south", "east", "west"] as const;
const seedFactor = 2_654_435_761;
const maxSeed = 2 ** 31;

/** Options of a replay. */
export interface RestReplayOptions {
    readonly nodes: number;
    readonly upstreams: number;
    /** Number of upstreams that reject everything for a while. */
    readonly resting: number;
    readonly seed: number;
    /** Whether nodes keep to the rest. */
    readonly hasLimit?: boolean;
}

/** Result of a replay. */
export interface RestReplayResult {
    /** Most requests of one node at one upstream between the answer that asked it for rest and the end of that rest. */
    readonly mostWhileResting: number;
    /** Requests that were rejected while upstreams were in need, as a share of all that were sent. */
    readonly rejectedShare: number;
    /** Callers' requests that were served while upstreams were in need, as a share of all. */
    readonly servedShare: number;
    /** Highest load of the other upstreams while some were in need, as a share of their slots. */
    readonly highestLoadOfOthers: number;
    /** Most requests at the resting upstreams in a window after their need, in relation to the usual number. */
    readonly returnPeak: number;
    /** Requests at them in the last seconds, in relation to the usual number. */
    readonly shareAtEnd: number;
}

interface Node {
    readonly picker: UpstreamPicker;
    readonly limit: RestLimit<RegisteredUpstream>;
    readonly announcements: Announcements;
    /** Rests by upstream: when the node was asked, and what it has sent since. */
    readonly rests: Map<string, { endsAt: number; sent: number; }>;
}

/** Replays one fleet. */
export function replayRest(options: RestReplayOptions): RestReplayResult {
    return new RestReplay(options).run();
}

class RestReplay {
    readonly #options: RestReplayOptions;
    readonly #clock = new ManualClock(0);
    readonly #random: RandomSource;
    readonly #upstreams: readonly RegisteredUpstream[];
    readonly #nodes: readonly Node[];
    readonly #running = new Map<string, number>();
    /** Requests that end at a time, by that time. */
    readonly #ends = new Map<number, (() => void)[]>();
    /** Arrivals at the upstreams that rest, by window. */
    readonly #arrivals = new Map<number, number>();
    #mostWhileResting = 0;
    #sentInNeed = 0;
    #rejectedInNeed = 0;
    #callersInNeed = 0;
    #servedInNeed = 0;
    #highestLoadOfOthers = 0;

    constructor(options: RestReplayOptions) {
        this.#options = options;
        this.#random = new RandomSource(options.seed);
        this.#upstreams = Array.from(
            { length: options.upstreams },
            (...[, index]) => createUpstream(`u${index}`, { slots, failureDomain: domains[index % domains.length] }),
        );
        this.#nodes = Array.from({ length: options.nodes }, (...[, index]) => this.#createNode(index));
    }

    run(): RestReplayResult {
        const perStep = load * slots * this.#options.upstreams / serviceMilliseconds * stepMilliseconds;
        let due = 0;
        for (let now = 0; now < endsAt; now += stepMilliseconds) {
            for (const end of this.#ends.get(now) ?? []) {
                end();
            }
            this.#ends.delete(now);
            for (due += perStep; due >= 1; due -= 1) {
                this.#serve(this.#nodes[this.#random.nextInteger(this.#nodes.length)]);
            }
            this.#clock.advance(stepMilliseconds);
        }
        const usual = this.#countArrivals(1_000, needStartsAt) / ((needStartsAt - 1_000) / windowMilliseconds);
        const last = this.#countArrivals(endsAt - 2_000, endsAt) / (2_000 / windowMilliseconds);
        return {
            mostWhileResting: this.#mostWhileResting,
            rejectedShare: this.#rejectedInNeed / this.#sentInNeed,
            servedShare: this.#servedInNeed / this.#callersInNeed,
            highestLoadOfOthers: this.#highestLoadOfOthers,
            returnPeak: this.#getPeak(needEndsAt, needEndsAt + returnMilliseconds) / usual,
            shareAtEnd: last / usual,
        };
    }

    #createNode(index: number): Node {
        const clock = this.#clock;
        const random = new RandomSource((this.#options.seed + index + 1) * seedFactor % maxSeed);
        const announcements = new Announcements({ clock, journal: createJournal().journal });
        const limit = new RestLimit<RegisteredUpstream>({
            clock,
            random,
            getRestEnd: upstream => announcements.getRestEnd(upstream),
        });
        const picker = new UpstreamPicker({
            clock,
            self: `node-${index}`,
            failureDomain: domains[index % domains.length],
            random,
            onEject: () => {},
            isAdmitted: upstream => this.#options.hasLimit === false || limit.isAdmitted(upstream),
        });
        return { picker, limit, announcements, rests: new Map() };
    }

    #isInNeed({ id }: RegisteredUpstream): boolean {
        const now = this.#clock.monotonic();
        return now >= needStartsAt && now < needEndsAt && Number(id.slice(1)) < this.#options.resting;
    }

    #serve(node: Node): void {
        const now = this.#clock.monotonic();
        const isCounted = now >= needStartsAt && now < needEndsAt;
        this.#callersInNeed += isCounted ? 1 : 0;
        const excluded = new Set<string>();
        for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
            const pick = node.picker.pick({
                pool: "app",
                candidates: this.#upstreams,
                excluded,
                prompt: { model: undefined, tokens: 500, bytes: 500, sharedTokens: 0, sharedKey: "" },
            });
            if (pick === undefined) {
                return;
            }
            excluded.add(pick.upstream.id);
            this.#sentInNeed += isCounted ? 1 : 0;
            if (this.#send(node, pick.upstream)) {
                this.#servedInNeed += isCounted ? 1 : 0;
                return;
            }
            this.#rejectedInNeed += isCounted ? 1 : 0;
        }
    }

    /** Sends a request to an upstream, and returns whether it was accepted. */
    #send(node: Node, upstream: RegisteredUpstream): boolean {
        const now = this.#clock.monotonic();
        const { id } = upstream;
        this.#countArrival(upstream);
        const rest = node.rests.get(id);
        if (rest !== undefined && now < rest.endsAt) {
            rest.sent += 1;
            this.#mostWhileResting = Math.max(this.#mostWhileResting, rest.sent);
        }
        node.picker.start(id);
        node.limit.add(upstream);
        const running = this.#running.get(id) ?? 0;
        if (this.#isInNeed(upstream)) {
            node.announcements.observe(upstream, { isLeaving: false, restMilliseconds });
            node.rests.set(id, { endsAt: now + restMilliseconds, sent: rest?.sent ?? 0 });
            node.picker.addLoadReport(upstream, { requests: running, slots });
            node.picker.finish(upstream, "refused", this.#upstreams);
            return false;
        }
        this.#running.set(id, running + 1);
        this.#noteLoad(upstream, running + 1);
        node.picker.addLoadReport(upstream, { requests: running + 1, slots });
        const end = now + serviceMilliseconds;
        const ends = this.#ends.get(end) ?? [];
        this.#ends.set(end, ends);
        ends.push(() => {
            this.#running.set(id, (this.#running.get(id) ?? 1) - 1);
            node.picker.finish(upstream, "ok", this.#upstreams);
        });
        return true;
    }

    #noteLoad({ id }: RegisteredUpstream, running: number): void {
        const now = this.#clock.monotonic();
        if (Number(id.slice(1)) >= this.#options.resting && now >= needStartsAt && now < needEndsAt) {
            this.#highestLoadOfOthers = Math.max(this.#highestLoadOfOthers, running / slots);
        }
    }

    #countArrival({ id }: RegisteredUpstream): void {
        if (Number(id.slice(1)) < this.#options.resting) {
            const window = Math.floor(this.#clock.monotonic() / windowMilliseconds);
            this.#arrivals.set(window, (this.#arrivals.get(window) ?? 0) + 1);
        }
    }

    #countArrivals(from: number, until: number): number {
        let count = 0;
        for (const [window, arrivals] of this.#arrivals) {
            if (window * windowMilliseconds >= from && window * windowMilliseconds < until) {
                count += arrivals;
            }
        }
        return count;
    }

    #getPeak(from: number, until: number): number {
        const counts = [...this.#arrivals].filter(([window]) =>
            window * windowMilliseconds >= from && window * windowMilliseconds < until
        );
        return Math.max(0, ...counts.map(([, count]) => count));
    }
}
