/**
 * All roll-outs as one node sees them: it chooses versions by them, gathers evidence, and takes them further.
 *
 * Every node can take the next step. The store takes each step once; nodes wait in the order of their rank, so that usually only
 * the first one writes.
 */
import type { Clock } from "../common/index.js";
import { events, type Journal } from "../events/index.js";
import type { RegisteredUpstream, UpstreamRegistry } from "../fleet/index.js";
import { judgeRollout } from "./judgeRollout.js";
import { type PeerReport, PeerReports, type ReportTotal } from "./peerReports.js";
import type { PinReport } from "./pinnedSessions.js";
import { planRollout } from "./planRollout.js";
import { getSessionRank, PoolSessions } from "./poolSessions.js";
import { isFirstStep, isOver, type RolloutOrder, type RolloutProgress } from "./rollout.js";
import { encodeReport, type EvidenceAnswer, type EvidenceReport, RolloutEvidence } from "./rolloutEvidence.js";
import { getTurnDelay, watchfulNodes } from "./stepTurn.js";
import { VersionDivisions } from "./versionDivisions.js";
import { chooseVersion } from "./versionGate.js";

const tickMilliseconds = 200;
/**
 * The first nodes by rank look at all reports at every tick; the others do at every fifth. A look costs each node work in proportion to
 * all nodes, and a node further back waits its turn for longer than that anyway.
 */
const ticksBetweenLooks = 5;
/** An attempt to write is not repeated sooner. */
const writePauseMilliseconds = 1_000;

/** What roll-outs are handled with. */
export interface RolloutsOptions {
    /** This node. */
    readonly self: string;
    readonly clock: Clock;
    readonly journal: Journal;
    readonly registry: UpstreamRegistry;
    readonly exposureShare: number;
    readonly sessionMilliseconds: number;
    /** Returns how many nodes rank before this one. */
    readonly getRank: () => number;
    /** Returns how many nodes may be at work. */
    readonly getMemberCount: () => number;
    /** Tells the other nodes this node's evidence on a pool's roll-out. */
    readonly publishEvidence: (pool: string, value: Buffer) => void;
    /** Returns the evidence of the other nodes. */
    readonly getEvidence: (pool: string) => Iterable<PeerReport>;
    /** Tells all nodes at once that a pool's roll-out was found bad. */
    readonly publishHalt: (pool: string, order: number) => void;
    /** Writes a step, if nobody else has written; resolves when that has succeeded or failed. */
    readonly writeProgress: (order: RolloutOrder, progress: RolloutProgress) => Promise<void>;
    /** Writes which sessions are pinned here; resolves to whether that has succeeded. */
    readonly writePins: (pool: string, report: PinReport) => Promise<boolean>;
}

/** The upstreams that may serve a request. */
export interface VersionSelection {
    readonly upstreams: readonly RegisteredUpstream[];
    /** Why these, for the log; undefined when no roll-out is under way. */
    readonly reason: string | undefined;
}

interface Rollout {
    readonly order: RolloutOrder;
    /** Monotonic milliseconds of the order, as far as known. */
    orderedAt: number;
    readonly evidence: RolloutEvidence;
    readonly inFlight: Set<object>;
    readonly peerReports: PeerReports;
    published: Buffer | undefined;
    progress: RolloutProgress | undefined;
    /** Monotonic milliseconds at which this node heard of the first progress. */
    announcedAt: number | undefined;
    isHalted: boolean;
    /** When the step that is due first was. */
    dueSince: number | undefined;
    writtenAt: number;
    /** Number of the last step that this node wrote. */
    writtenStep: number;
}

/** Handles the roll-outs of all pools. */
export class Rollouts {
    readonly #options: RolloutsOptions;
    readonly #rollouts = new Map<string, Rollout>();
    readonly #waitingProgress = new Map<string, RolloutProgress>();
    /** By pool: versions that serve nothing any more. A set that changes is another set. */
    readonly #reverted = new Map<string, ReadonlySet<string>>();
    /** By pool. */
    readonly #sessions = new Map<string, PoolSessions>();
    readonly #divisions = new VersionDivisions();
    #timer: NodeJS.Timeout | undefined;
    #ticks = 0;

    constructor(options: RolloutsOptions) {
        this.#options = options;
    }

    /** Begins to take steps. */
    start(): void {
        this.#timer = setInterval(() => this.tick(), tickMilliseconds);
    }

    /** Ends taking steps. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Takes in an operator's order. */
    setOrder(order: RolloutOrder): void {
        const known = this.#rollouts.get(order.pool);
        if (known !== undefined && known.order.id >= order.id) {
            return;
        }
        this.#rollouts.set(order.pool, {
            order,
            orderedAt: this.#options.clock.monotonic(),
            evidence: new RolloutEvidence(),
            inFlight: new Set(),
            peerReports: new PeerReports(),
            published: undefined,
            progress: undefined,
            announcedAt: undefined,
            isHalted: false,
            dueSince: undefined,
            writtenAt: Number.NEGATIVE_INFINITY,
            writtenStep: 0,
        });
        this.#forgive(order);
        this.#options.journal.write(events.rolloutOrdered, {
            rollout: order.pool,
            version: order.version,
            order: order.id,
        });
        const waiting = this.#waitingProgress.get(order.pool);
        if (waiting !== undefined) {
            this.setProgress(order.pool, waiting);
        }
    }

    /** A version that was reverted may be ordered again. */
    #forgive({ pool, version }: RolloutOrder): void {
        const left = [...this.#reverted.get(pool) ?? []].filter(reverted => reverted !== version);
        this.#reverted.set(pool, new Set(left));
    }

    /** Takes in how far a pool's roll-out has come. */
    setProgress(pool: string, progress: RolloutProgress): void {
        const rollout = this.#rollouts.get(pool);
        if (progress.state === "reverted") {
            this.#reverted.set(pool, new Set([...this.#reverted.get(pool) ?? [], progress.version]));
        }
        if (rollout === undefined || rollout.order.id !== progress.order) {
            this.#waitingProgress.set(pool, progress);
            return;
        }
        if (rollout.progress !== undefined && isOver(rollout.progress)) {
            return;
        }
        if (rollout.progress === undefined && progress.step > 1) {
            // This node may have been started after the order. Otherwise its own clock is right, and the wall clock may have jumped.
            const elapsed = this.#options.clock.wall() - progress.orderedAt;
            const bounded = Math.min(Math.max(0, elapsed), rollout.order.durationMilliseconds);
            rollout.orderedAt = Math.min(rollout.orderedAt, this.#options.clock.monotonic() - bounded);
        }
        rollout.progress = progress;
        rollout.dueSince = undefined;
        if (rollout.announcedAt === undefined) {
            rollout.announcedAt = this.#options.clock.monotonic();
            this.#pinServedSessions(rollout, progress);
        }
        const { state, share, version } = progress;
        this.#options.journal.write(events.rolloutProgressed, { rollout: pool, version, state, share });
    }

    /** Takes in which sessions of a pool are pinned at a node. */
    setPins(pool: string, origin: string, report: PinReport): void {
        this.#getSessions(pool).setReport(origin, report);
    }

    /** Takes in that another node found a pool's roll-out bad. */
    setHalted(pool: string, order: number): void {
        const rollout = this.#rollouts.get(pool);
        if (rollout !== undefined && rollout.order.id === order) {
            this.#halt(rollout, "heard from a peer");
        }
    }

    /**
     * Returns the upstreams that may serve a request.
     * @param pool - The pool.
     * @param session - The session, or whatever identifies the request.
     * @param upstreams - The pool's upstreams that take requests.
     */
    select(pool: string, session: string, upstreams: readonly RegisteredUpstream[]): VersionSelection {
        const rollout = this.#rollouts.get(pool);
        const { sound, candidates, currents } = this.#divisions.get(upstreams, {
            reverted: this.#reverted.get(pool),
            candidate: rollout?.order.version,
        });
        if (rollout === undefined) {
            return { upstreams: sound, reason: undefined };
        }
        const { order, progress, isHalted } = rollout;
        const sessionRank = getSessionRank(order, session);
        const isPinned = this.#getSessions(pool).isPinned(order, sessionRank);
        const choice = chooseVersion({ order, progress, isHalted, sessionRank, isPinned });
        const reason = progress !== undefined && isOver(progress)
            ? undefined
            : `${choice}: share ${progress?.share ?? 0}, rank ${sessionRank.toFixed(4)}${isPinned ? ", pinned" : ""}`;
        if (choice === "candidate") {
            return { upstreams: candidates.length > 0 ? candidates : currents, reason };
        }
        const isBad = isHalted || progress?.state === "reverted";
        return { upstreams: currents.length > 0 || isBad ? currents : candidates, reason };
    }

    /**
     * Notes a request that is sent to an upstream.
     * @param upstream - The upstream.
     * @param session - Its session; undefined when it belongs to none.
     * @returns Is to be called when it has ended.
     */
    begin(upstream: RegisteredUpstream, session: string | undefined): () => void {
        const { pool, version } = upstream;
        const rollout = this.#rollouts.get(pool);
        const isCurrent = rollout !== undefined && version !== rollout.order.version;
        const work = {};
        if (isCurrent) {
            rollout.inFlight.add(work);
        }
        const endSession = session === undefined ? () => {} : this.#beginSession(upstream, session);
        return () => {
            rollout?.inFlight.delete(work);
            endSession();
        };
    }

    #beginSession({ pool, version }: RegisteredUpstream, session: string): () => void {
        const sessions = this.#getSessions(pool);
        sessions.begin(session, version);
        const rollout = this.#rollouts.get(pool);
        if (rollout?.progress !== undefined && isFirstStep(rollout.progress) && version !== rollout.order.version) {
            sessions.pin(rollout.order, rollout.progress.firstShare, session);
        }
        return () => sessions.end(session);
    }

    /**
     * Takes in how an upstream answered.
     * @param upstream - The upstream.
     * @param answer - How it answered.
     */
    addAnswer(upstream: RegisteredUpstream, answer: Omit<EvidenceAnswer, "isCandidate">): void {
        const rollout = this.#rollouts.get(upstream.pool);
        if (rollout === undefined || (rollout.progress !== undefined && isOver(rollout.progress))) {
            return;
        }
        const isCandidate = upstream.version === rollout.order.version;
        rollout.evidence.add({ ...answer, isCandidate }, this.#options.clock.monotonic());
        if (isCandidate && answer.hasFailed) {
            this.#judge(rollout, this.#getTotal(rollout, this.#createReport(rollout)));
        }
    }

    #getSessions(pool: string): PoolSessions {
        let sessions = this.#sessions.get(pool);
        if (sessions === undefined) {
            const { self, clock, sessionMilliseconds, writePins } = this.#options;
            sessions = new PoolSessions({
                self,
                clock,
                sessionMilliseconds,
                writePins: report => writePins(pool, report),
            });
            this.#sessions.set(pool, sessions);
        }
        return sessions;
    }

    /** Pins the sessions that the old version has served here, as the first step is announced, and tells of them at once. */
    #pinServedSessions({ order }: Rollout, progress: RolloutProgress): void {
        if (isFirstStep(progress)) {
            const sessions = this.#getSessions(order.pool);
            sessions.pinServed(order, progress.firstShare);
            void sessions.tellPins(order);
        }
    }

    /** Tells the others what is known here, judges, and takes the next step where it is this node's turn. */
    tick(): void {
        this.#ticks += 1;
        for (const rollout of this.#rollouts.values()) {
            if (rollout.progress !== undefined && isOver(rollout.progress)) {
                continue;
            }
            void this.#getSessions(rollout.order.pool).tellPins(rollout.order);
            const own = this.#createReport(rollout);
            this.#publish(rollout, own);
            const rank = this.#options.getRank();
            if (rank < watchfulNodes || this.#ticks % ticksBetweenLooks === rank % ticksBetweenLooks) {
                const total = this.#getTotal(rollout, own);
                this.#judge(rollout, total);
                this.#advance(rollout, total, rank);
            }
        }
    }

    #createReport({ order, inFlight, evidence }: Rollout): EvidenceReport {
        const lanes = evidence.getCounts(this.#options.clock.monotonic());
        return { order: order.id, currentInFlight: inFlight.size, lanes };
    }

    /** What has not changed is not published again, or gossip would carry it to every node once more. */
    #publish(rollout: Rollout, own: EvidenceReport): void {
        const value = encodeReport(own);
        if (rollout.published?.equals(value) !== true) {
            rollout.published = value;
            this.#options.publishEvidence(rollout.order.pool, value);
        }
    }

    #getTotal({ order, peerReports }: Rollout, own: EvidenceReport): ReportTotal {
        return peerReports.getTotal(own, this.#options.getEvidence(order.pool));
    }

    #judge(rollout: Rollout, { lanes }: ReportTotal): void {
        if (rollout.isHalted) {
            return;
        }
        const verdict = judgeRollout(lanes);
        if (verdict === undefined) {
            return;
        }
        const { lane, reason, candidate, current } = verdict;
        this.#halt(rollout, `${reason} in ${lane}: ${candidate.toFixed(2)} against ${current.toFixed(2)}`);
        this.#options.publishHalt(rollout.order.pool, rollout.order.id);
    }

    #halt(rollout: Rollout, reason: string): void {
        if (rollout.isHalted) {
            return;
        }
        rollout.isHalted = true;
        const { pool, version } = rollout.order;
        this.#options.journal.write(events.rolloutHalted, { rollout: pool, version, reason });
    }

    #advance(rollout: Rollout, { currentInFlight }: ReportTotal, rank: number): void {
        const { clock, registry, exposureShare, getMemberCount } = this.#options;
        const now = clock.monotonic();
        const { order, progress, isHalted } = rollout;
        const upstreams = registry.getTaking(order.pool);
        const candidates = upstreams.filter(upstream => upstream.version === order.version).length;
        const next = planRollout({
            order,
            progress,
            elapsedMilliseconds: now - rollout.orderedAt,
            announcedMilliseconds: rollout.announcedAt === undefined ? 0 : now - rollout.announcedAt,
            isBad: isHalted,
            candidates,
            currents: upstreams.length - candidates,
            currentInFlight,
            exposureShare,
            members: getMemberCount(),
            wallNow: clock.wall(),
        });
        if (next === undefined) {
            rollout.dueSince = undefined;
            return;
        }
        rollout.dueSince ??= now;
        const hasTakenLast = progress !== undefined && progress.step === rollout.writtenStep;
        const delay = getTurnDelay({ rank, hasTakenLast });
        if (now - rollout.dueSince < delay || now - rollout.writtenAt < writePauseMilliseconds) {
            return;
        }
        rollout.writtenAt = now;
        rollout.writtenStep = next.step;
        void this.#options.writeProgress(order, next);
    }
}
