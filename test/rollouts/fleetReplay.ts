/**
 * Replays a roll-out of a whole fleet in memory: nodes that gossip within the bytes of their site, runners whose answers get slower with
 * their load, bad versions of each kind, and nodes that are stopped, added, or cut off from each other.
 */
import { ManualClock, RandomSource } from "../../src/common/index.js";
import type { RegisteredUpstream } from "../../src/fleet/index.js";
import { Gossip, Membership } from "../../src/membership/index.js";
import { createRolloutPeers, followHalts } from "../../src/platform/rolloutGossip.js";
import { type RolloutOrder, type RolloutProgress, Rollouts } from "../../src/rollouts/index.js";
import type { Vm } from "../../src/world/index.js";
import { createJournal } from "../fixtures/journals.js";
import { createUpstream, createUpstreamRegistry } from "../fixtures/upstreams.js";
import { drawAnswer, getUsualAnswerSeconds } from "./drawAnswer.js";
import type { FleetReplayOptions, ReplayedFleet } from "./fleetReplayOptions.js";
import {
    exposureExtra,
    maxBadAnswers,
    minSamplePauses,
    pool,
    rollbackMilliseconds,
    samplePauses,
} from "./replayConstants.js";
import { TaskSchedule } from "./taskSchedule.js";

const stepMilliseconds = 10;
const tickMilliseconds = 200;
/** Latest time until a record that was written to the store is read by a node. */
const maxDeliveryMilliseconds = 400;
const gossipMilliseconds = 150;
const maxGossipBytes = 64 * 1024;
/** Time for which the fleet runs before the order, and after the deadline. */
const leadMilliseconds = 6_000;
const tailMilliseconds = 6_000;
const slots = 16;
/** Load of the runners of the old version at the usual rate. */
const usualLoad = 0.3;
/** The users' bound of the site: share of the requests. */
const exposureShare = 0.0975;
interface FleetNode {
    readonly id: string;
    readonly vm: Vm;
    gossip: Gossip;
    membership: Membership;
    rollouts: Rollouts;
    isRunning: boolean;
    /** Whether it takes requests: a node that has just started reads the store first. */
    isServing: boolean;
    hasOrder: boolean;
    nextExchangeAt: number;
    /** Rank by which the node is cut off, so that shares of the nodes can be cut off. */
    readonly cutRank: number;
    receivedBytes: number;
}

/** Replays one roll-out. */
export class FleetReplay {
    readonly #options: FleetReplayOptions;
    readonly #clock = new ManualClock(Date.UTC(2026, 0, 1));
    readonly #startedAt = this.#clock.monotonic();
    readonly #random: RandomSource;
    readonly #registry = createUpstreamRegistry(this.#clock);
    readonly #journal: ReturnType<typeof createJournal>["journal"];
    readonly #upstreams: readonly RegisteredUpstream[];
    readonly #currentUpstreams: readonly RegisteredUpstream[];
    readonly #nodes: FleetNode[] = [];
    readonly #nodesById = new Map<string, FleetNode>();
    readonly #running = new Map<string, number>();
    readonly #steps: { at: number; progress: RolloutProgress; }[] = [];
    readonly #order: RolloutOrder;
    readonly #sentAt: number[] = [];
    readonly #badAt: number[] = [];
    readonly #schedule = new TaskSchedule(this.#clock, stepMilliseconds);
    #haltedAt: number | undefined;
    #poolRequests = 0;
    #requests = 0;

    constructor(options: FleetReplayOptions) {
        this.#options = options;
        this.#random = new RandomSource(options.seed);
        this.#journal = createJournal().journal;
        this.#order = { id: 7, pool, version: "v2", durationMilliseconds: options.durationMilliseconds };
        const seconds = getUsualAnswerSeconds();
        const runners = Math.max(3, Math.ceil(options.requestsPerSecond * seconds / (slots * usualLoad)));
        this.#upstreams = ["v1", "v2"].flatMap(version =>
            Array.from({ length: runners }, (...[, index]) => createUpstream(`${version}-${index}`, { version, slots }))
        );
        this.#currentUpstreams = this.#upstreams.filter(({ version }) => version === "v1");
        for (const upstream of this.#upstreams) {
            this.#registry.set(upstream);
        }
        for (let index = 0; index < options.nodes; index += 1) {
            this.#addNode().isServing = true;
        }
        this.#distributeNodes();
    }

    get #elapsed(): number {
        return this.#clock.monotonic() - this.#startedAt - leadMilliseconds;
    }

    /** Runs the roll-out until some seconds after its deadline. */
    async run(): Promise<ReplayedFleet> {
        const end = this.#options.durationMilliseconds + tailMilliseconds;
        this.#scheduleTrouble();
        this.#schedule.add(leadMilliseconds, () => this.#deliver(node => this.#setOrder(node)));
        while (this.#elapsed < end) {
            this.#clock.advance(stepMilliseconds);
            this.#schedule.runDue();
            this.#sendRequests();
            for (const [index, node] of this.#nodes.entries()) {
                this.#advanceNode(node, index);
            }
            // Lets messages between nodes arrive.
            await new Promise(resolve => setImmediate(resolve));
        }
        return this.#describe();
    }

    #describe(): ReplayedFleet {
        const bound = (this.#badAt.toSorted((first, second) => first - second)[maxBadAnswers - 1] ?? Infinity)
            + rollbackMilliseconds;
        const last = this.#steps.at(-1);
        const seconds = (this.#clock.monotonic() - this.#startedAt) / 1_000;
        return {
            state: last?.progress.state,
            endedAt: last?.at,
            haltedAt: this.#haltedAt,
            exposed: this.#sentAt.length,
            allowed: exposureShare * this.#poolRequests + exposureExtra,
            late: this.#sentAt.filter(at => at > bound).length,
            steps: this.#steps.map(({ at, progress }) => ({ at, share: progress.share })),
            maxBytesPerSecond: Math.round(Math.max(...this.#nodes.map(node => node.receivedBytes)) / seconds),
        };
    }

    #addNode(): FleetNode {
        const index = this.#nodes.length;
        const id = `n-${String(index).padStart(3, "0")}`;
        const vm: Vm = {
            id,
            address: `10.1.${index >> 8}.${index & 255}`,
            peerPort: 7_000,
            port: 8_000,
            failureDomain: "north",
            region: "here",
            role: "entry",
            pool: "",
            state: "live",
        };
        const node = { id, vm, cutRank: this.#random.next(), receivedBytes: 0, nextExchangeAt: 0 } as FleetNode;
        this.#nodes.push(node);
        this.#nodesById.set(id, node);
        this.#startNode(node);
        return node;
    }

    #startNode(node: FleetNode): void {
        const identity = { ...node.vm, peerPort: 7_000 };
        const gossip = new Gossip({
            self: identity,
            clock: this.#clock,
            random: new RandomSource(this.#random.nextInteger(1_000_000)),
            journal: this.#journal,
            periodMilliseconds: gossipMilliseconds,
            maxValueBytesPerMessage: maxGossipBytes,
            transport: {
                exchange: async (peer, request) => {
                    const target = this.#findPeer(node, peer.id);
                    const reply = target?.gossip.handleExchange(request);
                    for (const item of reply?.items ?? []) {
                        node.receivedBytes += item.value.length;
                    }
                    return reply;
                },
                push: async (peer, request) => {
                    const target = this.#findPeer(node, peer.id);
                    await new Promise(resolve => setImmediate(resolve));
                    for (const item of target === undefined ? [] : request.items) {
                        target!.receivedBytes += item.value.length;
                    }
                    target?.gossip.handlePush(request);
                    return target !== undefined;
                },
            },
        });
        const membership = new Membership({ self: identity, gossip, clock: this.#clock, journal: this.#journal });
        Object.assign(node, {
            gossip,
            membership,
            isRunning: true,
            rollouts: this.#createRollouts(node, gossip, membership),
        });
        node.nextExchangeAt = this.#clock.monotonic() + this.#random.next() * gossip.getPeriodMilliseconds();
    }

    #createRollouts(node: FleetNode, gossip: Gossip, membership: Membership): Rollouts {
        const peers = createRolloutPeers({ self: node.id, gossip, membership });
        const rollouts = new Rollouts({
            self: node.id,
            clock: this.#clock,
            journal: this.#journal,
            registry: this.#registry,
            exposureShare,
            sessionMilliseconds: 5_000,
            ...peers,
            publishHalt: (name, order) => {
                this.#haltedAt ??= this.#elapsed;
                peers.publishHalt(name, order);
            },
            writeProgress: async (...[, progress]) => this.#writeProgress(node, progress),
            isRunning: async () => true,
            isStored: () => true,
            writePins: async () => true,
        });
        followHalts(gossip, rollouts);
        return rollouts;
    }

    /** Tells all nodes which nodes there are. */
    #distributeNodes(): void {
        for (const { membership } of this.#nodes) {
            membership.setVms(this.#nodes.map(({ vm }) => vm));
        }
    }

    #findPeer(from: FleetNode, id: string): FleetNode | undefined {
        const to = this.#nodesById.get(id);
        const isCut = to !== undefined && this.#isCutOff(from) !== this.#isCutOff(to);
        return to?.isRunning === true && from.isRunning && !isCut ? to : undefined;
    }

    #isCutOff(node: FleetNode): boolean {
        return isInTrouble(this.#options.trouble?.cut, node, this.#elapsed);
    }

    #scheduleTrouble(): void {
        const { restarts, added } = this.#options.trouble ?? {};
        if (added !== undefined) {
            this.#schedule.add(leadMilliseconds + added.at, () => {
                for (let index = 0; index < added.count; index += 1) {
                    this.#catchUp(this.#addNode());
                }
                this.#distributeNodes();
            });
        }
        for (const [index, node] of restarts === undefined ? [] : this.#nodes.entries()) {
            const at = restarts!.from + (restarts!.until - restarts!.from) * index / this.#options.nodes;
            this.#schedule.add(leadMilliseconds + at, () => {
                node.isRunning = false;
                node.isServing = false;
                node.hasOrder = false;
                this.#schedule.add(restarts!.downMilliseconds, () => {
                    this.#startNode(node);
                    node.membership.setVms(this.#nodes.map(({ vm }) => vm));
                    this.#catchUp(node);
                });
            });
        }
    }

    /** Tells a node the order. The upstreams of the new version start after it. */
    #setOrder(node: FleetNode): void {
        node.rollouts.setOrder(this.#order);
        node.hasOrder = true;
    }

    /** Lets a node that has started read the store, and then serve. */
    #catchUp(node: FleetNode): void {
        this.#deliverTo(node, () => {
            const last = this.#steps.at(-1);
            if (this.#elapsed >= 0) {
                this.#setOrder(node);
            }
            if (last !== undefined) {
                node.rollouts.setProgress(pool, last.progress);
            }
            node.isServing = true;
        });
    }

    #advanceNode(node: FleetNode, index: number): void {
        if (!node.isRunning) {
            return;
        }
        const now = this.#clock.monotonic();
        if (now >= node.nextExchangeAt) {
            node.nextExchangeAt = now + node.gossip.getPeriodMilliseconds() * (0.9 + 0.2 * this.#random.next());
            void node.gossip.exchangeOnce();
        }
        if ((now + index * stepMilliseconds) % tickMilliseconds === 0) {
            node.rollouts.tick();
        }
    }

    #writeProgress(node: FleetNode, progress: RolloutProgress): void {
        const isNext = progress.step === (this.#steps.at(-1)?.progress.step ?? 0) + 1;
        if (!isNext || isInTrouble(this.#options.trouble?.withoutStore, node, this.#elapsed)) {
            return;
        }
        this.#steps.push({ at: this.#elapsed, progress });
        this.#deliver(({ rollouts }) => rollouts.setProgress(pool, progress));
    }

    /** Delivers a record to all nodes, each at its time. */
    #deliver(apply: (node: FleetNode) => void): void {
        for (const node of this.#nodes) {
            this.#deliverTo(node, apply);
        }
    }

    #deliverTo(node: FleetNode, apply: (node: FleetNode) => void): void {
        this.#schedule.add(this.#random.next() * maxDeliveryMilliseconds, () => {
            if (isInTrouble(this.#options.trouble?.withoutStore, node, this.#elapsed)) {
                this.#deliverTo(node, apply);
            }
            else if (node.isRunning) {
                apply(node);
            }
        });
    }

    #sendRequests(): void {
        const { requestsPerSecond, getDemand, durationMilliseconds } = this.#options;
        const perStep = requestsPerSecond * (getDemand?.(this.#elapsed) ?? 1) * stepMilliseconds / 1_000;
        const count = Math.floor(perStep) + (this.#random.next() < perStep % 1 ? 1 : 0);
        const serving = this.#nodes.filter(({ isServing }) => isServing);
        for (let index = 0; index < count; index += 1) {
            this.#requests += 1;
            if (this.#elapsed >= 0 && this.#elapsed < durationMilliseconds) {
                this.#poolRequests += 1;
            }
            this.#send(serving[this.#random.nextInteger(serving.length)], `s-${this.#requests}`);
        }
    }

    #send(node: FleetNode, session: string): void {
        const now = this.#clock.monotonic();
        const { upstreams } = node.rollouts.select(
            pool,
            session,
            node.hasOrder ? this.#upstreams : this.#currentUpstreams,
        );
        const [first, second] = [0, 0].map(() => upstreams[this.#random.nextInteger(upstreams.length)]);
        const upstream = this.#getLoad(first) <= this.#getLoad(second) ? first : second;
        const load = this.#getLoad(upstream);
        const isCandidate = upstream.version === "v2";
        const { bad: badVersion } = this.#options;
        const answer = drawAnswer(this.#random, {
            bad: isCandidate ? badVersion : undefined,
            load,
            elapsed: this.#elapsed,
        });
        const { segment, bad, hasFailed, pauses, headMilliseconds: head, pauseMilliseconds: pause } = answer;
        if (isCandidate) {
            this.#sentAt.push(now);
        }
        const endRequest = node.rollouts.startRequest(upstream, session);
        const watch = node.rollouts.watchAttempt(upstream, {
            segment,
            objectiveMilliseconds: 1_000,
            pauseObjectiveMilliseconds: 600,
            isWarmingUp: false,
            load,
        });
        this.#running.set(upstream.id, (this.#running.get(upstream.id) ?? 0) + 1);
        if (!hasFailed) {
            this.#schedule.add(head, () => watch?.markHead());
        }
        if (pauses >= minSamplePauses) {
            this.#schedule.add(head + Math.min(pauses, samplePauses) * pause, () => watch?.addPause(pause));
        }
        this.#schedule.add(head + pauses * pause, () => {
            watch?.end(hasFailed ? "failed" : "answered");
            endRequest();
            this.#running.set(upstream.id, this.#running.get(upstream.id)! - 1);
            if (bad !== undefined) {
                this.#badAt.push(this.#clock.monotonic());
            }
        });
    }

    #getLoad({ id }: RegisteredUpstream): number {
        return (this.#running.get(id) ?? 0) / slots;
    }
}

function isInTrouble(
    trouble: { readonly from: number; readonly until: number; readonly share: number; } | undefined,
    { cutRank }: FleetNode,
    elapsed: number,
): boolean {
    return trouble !== undefined && cutRank < trouble.share && elapsed >= trouble.from && elapsed < trouble.until;
}
