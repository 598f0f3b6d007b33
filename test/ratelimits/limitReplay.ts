/** Replays a fleet whose runners state rate limits for a while, in memory, with the real choice of runners and real gossip. */
import { ManualClock, RandomSource } from "../../src/common/index.js";
import { StatedRateLimit, UpstreamPicker } from "../../src/decisions/index.js";
import type { RegisteredUpstream } from "../../src/fleet/index.js";
import { createSharedRateLimits, type RateLimits, unlimitedRate } from "../../src/ratelimits/index.js";
import { createGossipSite, type GossipNode } from "../fixtures/gossipSite.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstreams } from "../fixtures/upstreams.js";

const stepMilliseconds = 20;
/** Time from which a runner that states a limit has to get no more, and the span in which requests are counted. */
const settlingMilliseconds = 3_000;
const windowMilliseconds = 4_000;
const toldMilliseconds = 500;
const meanHeadMilliseconds = 250;

/** What is replayed. */
export interface LimitReplayOptions {
    readonly seed: number;
    readonly nodes: number;
    readonly runners: number;
    /** Number of the runners that state a limit. */
    readonly limited: number;
    readonly statedPerSecond: number;
    /** Requests a second that callers send to each node. */
    readonly requestsPerNode: number;
    /** Times at which the limits are stated first, and are not stated any more. */
    readonly from: number;
    readonly until: number;
    readonly milliseconds: number;
    /** Share of the nodes that stand still for a while during the limits. */
    readonly frozenShare: number;
}

/** What a replay shows. */
export interface LimitReplayResult {
    /** Most requests in 4 s at one runner that states a limit, from nodes that were told and did not stand still. */
    readonly maxInWindow: number;
    /** Requests at the limited runners while they stated limits, as a share of what they took then. */
    readonly usedShare: number;
    /** Share of the nodes that know no limit at the end. */
    readonly freeShare: number;
    /** Requests at the limited runners in the last 4 s, as a share of their part of all requests. */
    readonly regainedShare: number;
    /** Requests that no runner took. */
    readonly refused: number;
    readonly requests: number;
}

interface ReplayNode {
    readonly gossipNode: GossipNode;
    readonly index: number;
    readonly picker: UpstreamPicker;
    readonly limit: StatedRateLimit;
    readonly rateLimits: RateLimits;
    /** Time at which a runner told the node of its limit, by runner. */
    readonly toldAt: Map<string, number>;
    frozenFrom: number;
    frozenUntil: number;
}

interface Answer {
    readonly at: number;
    readonly sentAt: number;
    readonly node: ReplayNode;
    readonly runner: RegisteredUpstream;
}

interface Arrival {
    readonly at: number;
    readonly isBound: boolean;
}

/** Replays a fleet. */
export async function replayLimits(options: LimitReplayOptions): Promise<LimitReplayResult> {
    return new LimitReplay(options).run();
}

class LimitReplay {
    readonly #options: LimitReplayOptions;
    readonly #random: RandomSource;
    readonly #clock = new ManualClock(0);
    readonly #site;
    readonly #runners: readonly RegisteredUpstream[];
    readonly #limitedIds: ReadonlySet<string>;
    readonly #nodes: readonly ReplayNode[];
    readonly #arrivals = new Map<string, Arrival[]>();
    #answers: Answer[] = [];
    #refused = 0;
    #requests = 0;

    constructor(options: LimitReplayOptions) {
        this.#options = options;
        this.#random = new RandomSource(options.seed);
        const periodMilliseconds = Math.max(150, 6 * options.nodes);
        this.#site = createGossipSite(options.nodes, { seed: options.seed, periodMilliseconds });
        const domains = [...new Set(this.#site.nodes.map(({ vm }) => vm.failureDomain))];
        this.#runners = createUpstreams(options.runners, { slots: 48 }).map((runner, index) => ({
            ...runner,
            failureDomain: domains[index % domains.length],
        }));
        this.#limitedIds = new Set(this.#runners.slice(0, options.limited).map(({ id }) => id));
        this.#nodes = this.#site.nodes.map((node, index) => this.#createNode(node, index));
    }

    async run(): Promise<LimitReplayResult> {
        const { milliseconds } = this.#options;
        let nextGossipAt = 0;
        while (this.#clock.monotonic() < milliseconds) {
            this.#clock.advance(stepMilliseconds);
            if (this.#clock.monotonic() >= nextGossipAt) {
                nextGossipAt += this.#site.periodMilliseconds;
                await this.#runGossip();
            }
            this.#deliverAnswers();
            for (const node of this.#nodes) {
                this.#sendFrom(node);
            }
        }
        return this.#createResult();
    }

    #createNode(gossipNode: GossipNode, index: number): ReplayNode {
        const { vm, gossip, membership } = gossipNode;
        const clock = this.#clock;
        const random = new RandomSource(this.#random.nextInteger(1_000_000));
        const rateLimits = createSharedRateLimits({ clock, journal: createJournal(vm.id).journal, gossip });
        const limit = new StatedRateLimit({
            clock,
            random,
            self: vm.id,
            rates: rateLimits,
            getNodes: () => membership.getPossiblySending(),
            mayHold: () => true,
        });
        const picker = new UpstreamPicker({
            clock,
            random,
            self: vm.id,
            failureDomain: vm.failureDomain,
            onEject: () => {},
            isAdmitted: upstream => limit.isAdmitted(upstream),
            rateShares: limit,
        });
        const { from, until, frozenShare } = this.#options;
        const isFrozen = this.#random.next() < frozenShare;
        const frozenFrom = isFrozen ? from + this.#random.next() * (until - from) : Number.POSITIVE_INFINITY;
        const frozenUntil = isFrozen ? frozenFrom + 1_000 + this.#random.next() * 4_000 : Number.NEGATIVE_INFINITY;
        return { gossipNode, index, picker, limit, rateLimits, toldAt: new Map(), frozenFrom, frozenUntil };
    }

    async #runGossip(): Promise<void> {
        for (const { gossipNode, frozenFrom, frozenUntil } of this.#nodes) {
            const now = this.#clock.monotonic();
            gossipNode.isDown = now >= frozenFrom && now < frozenUntil;
        }
        await this.#site.run(1);
    }

    #isLimited(runner: RegisteredUpstream): boolean {
        const now = this.#clock.monotonic();
        return this.#limitedIds.has(runner.id) && now >= this.#options.from && now < this.#options.until;
    }

    #deliverAnswers(): void {
        const now = this.#clock.monotonic();
        const due = this.#answers.filter(({ at, node }) => at <= now && !isFrozen(node, now));
        this.#answers = this.#answers.filter(answer => !due.includes(answer));
        for (const { node, runner, sentAt } of due) {
            const requestsPerSecond = this.#isLimited(runner) ? this.#options.statedPerSecond : unlimitedRate;
            node.rateLimits.observe({ upstream: runner.id, requestsPerSecond, sentAt });
            node.picker.finish(runner, "ok", this.#runners);
            if (requestsPerSecond < unlimitedRate && !node.toldAt.has(runner.id)) {
                node.toldAt.set(runner.id, now);
            }
        }
    }

    #sendFrom(node: ReplayNode): void {
        const now = this.#clock.monotonic();
        const expected = this.#options.requestsPerNode * stepMilliseconds / 1_000;
        if (this.#random.next() >= expected || isFrozen(node, now)) {
            return;
        }
        this.#requests += 1;
        const sharedKey = `subject ${this.#random.nextInteger(400)}`;
        const prompt = { model: "m0", tokens: 1_000, bytes: 2_000, sharedTokens: 500, sharedKey };
        const candidates = this.#runners;
        const runner = node.picker.pick({ pool: "app", candidates, excluded: new Set(), prompt })?.upstream;
        if (runner === undefined) {
            this.#refused += 1;
            return;
        }
        node.limit.add(runner);
        node.picker.start(runner.id);
        this.#answers.push({ at: now + this.#random.nextExponential(meanHeadMilliseconds), sentAt: now, node, runner });
        const arrivals = this.#arrivals.get(runner.id) ?? [];
        arrivals.push({ at: now, isBound: isBound(node, runner, now) });
        this.#arrivals.set(runner.id, arrivals);
    }

    #createResult(): LimitReplayResult {
        const { from, until, statedPerSecond, limited, runners, milliseconds } = this.#options;
        let maxInWindow = 0;
        let used = 0;
        let last = 0;
        for (const id of this.#limitedIds) {
            const arrivals = this.#arrivals.get(id) ?? [];
            maxInWindow = Math.max(maxInWindow, getMaxInWindow(arrivals, from + settlingMilliseconds, until));
            used += arrivals.filter(({ at }) => at >= from + settlingMilliseconds && at < until).length;
            last += arrivals.filter(({ at }) => at >= milliseconds - windowMilliseconds).length;
        }
        const taken = limited * statedPerSecond * (until - from - settlingMilliseconds) / 1_000;
        const usual = this.#requests * windowMilliseconds / milliseconds * limited / runners;
        const free = this.#nodes.filter(({ rateLimits }) => rateLimits.count() === 0).length;
        return {
            maxInWindow,
            usedShare: used / taken,
            freeShare: free / this.#nodes.length,
            regainedShare: last / usual,
            refused: this.#refused,
            requests: this.#requests,
        };
    }
}

function isFrozen({ frozenFrom, frozenUntil }: ReplayNode, now: number): boolean {
    return now >= frozenFrom && now < frozenUntil;
}

/** Returns whether a request counts: its node was told of the limit, and has not just stood still. */
function isBound({ toldAt, frozenFrom, frozenUntil }: ReplayNode, { id }: RegisteredUpstream, now: number): boolean {
    const told = toldAt.get(id);
    const isExcused = now >= frozenFrom && now < frozenUntil + settlingMilliseconds;
    return told !== undefined && told <= now - toldMilliseconds && !isExcused;
}

function getMaxInWindow(arrivals: readonly Arrival[], from: number, until: number): number {
    const counted = arrivals.filter(({ at, isBound: counts }) => counts && at >= from && at < until);
    let max = 0;
    for (const { at: start } of counted) {
        max = Math.max(max, counted.filter(({ at }) => at >= start && at < start + windowMilliseconds).length);
    }
    return max;
}
