/**
 * Handles the roll-out of one pool at this node: chooses versions for requests, collects and evaluates evidence, and
 * takes the next step when it is this node's turn.
 */
import { events } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import { AttemptEvidence } from "./attemptEvidence.js";
import type { AttemptWatch, WatchedAttempt } from "./attemptWatch.js";
import { chooseVersion } from "./chooseVersion.js";
import { assessEvidence, evaluateRollout } from "./evaluateRollout.js";
import { explainStep, explainWait, summarizeEvidence, summarizeReports } from "./explainStep.js";
import { PeerReports, type ReportTotal } from "./peerReports.js";
import { planRollout, type RolloutSituation } from "./planRollout.js";
import { getSessionRank, type PoolSessions } from "./poolSessions.js";
import { isFirstStep, isOver, type RolloutOrder, type RolloutProgress } from "./rollout.js";
import { encodeReport, type EvidenceReport } from "./rolloutEvidence.js";
import type { RolloutsOptions } from "./rolloutsOptions.js";
import { getStepDelay, leadingNodeCount } from "./stepDelay.js";
import { TimeReferences } from "./timeReferences.js";
import type { VersionPartition } from "./versionPartitions.js";
import type { VersionSelection } from "./versionSelection.js";

/**
 * The first nodes by rank read all reports at every tick, the others at every fifth. Reading them costs each node work
 * in proportion to the number of nodes, and a node of a higher rank waits longer than five ticks for its turn anyway.
 */
const ticksBetweenEvaluations = 5;
/** Minimum interval between attempts to write a step, in milliseconds. */
const minWriteIntervalMilliseconds = 1_000;

/** What is known of an attempt apart from its upstream. */
export type AttemptKind = Omit<WatchedAttempt, "upstream" | "isCandidate">;

/** Handles one order. */
export class PoolRollout {
    readonly order: RolloutOrder;
    readonly #options: RolloutsOptions;
    readonly #sessions: PoolSessions;
    readonly #evidence: AttemptEvidence;
    readonly #timeReferences = new TimeReferences();
    readonly #peerReports = new PeerReports();
    /** Requests that are in flight at upstreams of the old version. */
    readonly #inFlight = new Set<object>();
    /** Monotonic milliseconds of the order, as far as known. */
    #orderedAt: number;
    #publishedReport: Buffer | undefined;
    /** Monotonic milliseconds of the last publication. */
    #publishedAt = Number.NEGATIVE_INFINITY;
    #progress: RolloutProgress | undefined;
    /** Monotonic milliseconds at which this node received the first progress. */
    #announcedAt: number | undefined;
    #isHalted = false;
    /** Monotonic milliseconds since which a step has been due. */
    #dueSince: number | undefined;
    #lastWriteAt = Number.NEGATIVE_INFINITY;
    /** Monotonic milliseconds since which the store has lacked the progress. */
    #lostSince: number | undefined;
    /** The step that last was written to wait, the evidence then, and what it waited for. */
    #writtenWait: string | undefined;
    /** Number of the last step that this node wrote. */
    #lastWrittenStep = 0;

    /**
     * @param options - The dependencies and settings of all roll-outs.
     * @param order - The order.
     * @param sessions - The pool's sessions.
     */
    constructor(options: RolloutsOptions, order: RolloutOrder, sessions: PoolSessions) {
        this.order = order;
        this.#options = options;
        this.#sessions = sessions;
        this.#orderedAt = options.clock.monotonic();
        this.#evidence = new AttemptEvidence({
            clock: options.clock,
            isRunning: options.isRunning,
            onFailure: () => this.#evaluate(this.#getTotal(this.#createReport())),
        });
    }

    /** Checks whether the roll-out is completed or reverted. */
    isOver(): boolean {
        return this.#progress !== undefined && isOver(this.#progress);
    }

    /** Updates the progress. A progress that is not newer than the current one is ignored. */
    setProgress(progress: RolloutProgress): void {
        if (this.isOver() || this.#isOutdated(progress)) {
            return;
        }
        const { clock, journal } = this.#options;
        const now = clock.monotonic();
        if (this.#progress === undefined && progress.step > 1) {
            // This node may have started after the order, so the wall clock gives the elapsed time. A node that has
            // received the first step relies on its monotonic clock instead, since the wall clock may have jumped.
            const elapsed = clock.wall() - progress.orderedAt;
            const boundedElapsed = Math.min(Math.max(0, elapsed), this.order.durationMilliseconds);
            this.#orderedAt = Math.min(this.#orderedAt, now - boundedElapsed);
        }
        const isFirstProgress = this.#announcedAt === undefined;
        this.#announcedAt ??= now;
        this.#progress = progress;
        this.#dueSince = undefined;
        if (isFirstProgress && isFirstStep(progress)) {
            this.#sessions.pinServedSessions(this.order, progress.firstShare);
            void this.#sessions.reportPins(this.order);
        }
        const { state, share, version } = progress;
        journal.write(events.rolloutProgressed, { rollout: this.order.pool, version, state, share });
    }

    /** Nodes of an earlier release do not number the steps. Their progress is accepted in the order of arrival. */
    #isOutdated({ step }: RolloutProgress): boolean {
        return this.#progress !== undefined && step > 0 && step <= this.#progress.step;
    }

    /** Halts the roll-out because the new version was found bad. */
    halt(reason: string): void {
        if (this.#isHalted) {
            return;
        }
        this.#isHalted = true;
        const { pool, version } = this.order;
        this.#options.journal.write(events.rolloutHalted, { rollout: pool, version, reason });
    }

    /**
     * Returns the upstreams that may serve a request.
     * @param session - The session, or another identifier of the request.
     * @param partition - The pool's upstreams by version.
     */
    select(session: string, { candidateUpstreams, currentUpstreams }: VersionPartition): VersionSelection {
        const progress = this.#progress;
        const sessionRank = getSessionRank(this.order, session);
        const isPinned = this.#sessions.isPinned(this.order, sessionRank);
        const choice = chooseVersion({ order: this.order, progress, isHalted: this.#isHalted, sessionRank, isPinned });
        const reason = this.isOver()
            ? undefined
            : `${choice}: share ${progress?.share ?? 0}, rank ${sessionRank.toFixed(4)}${isPinned ? ", pinned" : ""}`;
        if (choice === "candidate") {
            return { upstreams: candidateUpstreams.length > 0 ? candidateUpstreams : currentUpstreams, reason };
        }
        const isBad = this.#isHalted || progress?.state === "reverted";
        return { upstreams: currentUpstreams.length > 0 || isBad ? currentUpstreams : candidateUpstreams, reason };
    }

    /**
     * Records a request that is sent to an upstream.
     * @param upstream - The upstream.
     * @param session - The request's session, or undefined if it has none.
     * @returns A callback to call when the request has ended.
     */
    startRequest({ version }: RegisteredUpstream, session: string | undefined): () => void {
        if (version === this.order.version) {
            return () => {};
        }
        if (session !== undefined && this.#progress !== undefined && isFirstStep(this.#progress)) {
            this.#sessions.pin(this.order, this.#progress.firstShare, session);
        }
        const requestToken = {};
        this.#inFlight.add(requestToken);
        return () => this.#inFlight.delete(requestToken);
    }

    /**
     * Starts to watch an attempt as evidence on its version. Returns undefined when the roll-out is over.
     * @param upstream - The upstream.
     * @param attempt - The kind of attempt.
     */
    watchAttempt(upstream: RegisteredUpstream, attempt: AttemptKind): AttemptWatch | undefined {
        if (this.isOver()) {
            return undefined;
        }
        const isCandidate = upstream.version === this.order.version;
        return this.#evidence.start({ ...attempt, upstream: upstream.id, isCandidate });
    }

    /**
     * Publishes this node's evidence, evaluates all evidence, and takes the next step when it is this node's turn.
     * @param ticks - Number of this call.
     */
    tick(ticks: number): void {
        if (this.#isLost()) {
            this.#writeAgain();
            return;
        }
        if (this.isOver()) {
            return;
        }
        if (this.#progress !== undefined && isFirstStep(this.#progress)) {
            void this.#sessions.reportPins(this.order);
        }
        const own = this.#createReport();
        this.#publish(own);
        const rank = this.#options.getRank();
        if (rank < leadingNodeCount || ticks % ticksBetweenEvaluations === rank % ticksBetweenEvaluations) {
            const total = this.#getTotal(own);
            this.#evaluate(total);
            this.#advance(total, rank);
        }
    }

    #createReport(): EvidenceReport {
        const segments = this.#evidence.getCounts();
        return { order: this.order.id, currentInFlight: this.#inFlight.size, segments };
    }

    #isLost(): boolean {
        const isLost = this.#progress !== undefined && !this.#options.isStored(this.order.pool, this.#progress);
        if (!isLost) {
            this.#lostSince = undefined;
        }
        return isLost;
    }

    /** Writes the progress again when it is this node's turn. Without it, nobody could take the next step, and the operator would not learn of the end. */
    #writeAgain(): void {
        const { clock, getRank, writeProgress } = this.#options;
        const now = clock.monotonic();
        this.#lostSince ??= now;
        const delay = getStepDelay({ rank: getRank(), hasTakenLastStep: false });
        if (now - this.#lostSince < delay || now - this.#lastWriteAt < minWriteIntervalMilliseconds) {
            return;
        }
        this.#lastWriteAt = now;
        void writeProgress(this.order, this.#progress!);
    }

    /** Unchanged reports are not published again, since gossip would send them to every node once more. */
    #publish(own: EvidenceReport): void {
        const { clock, getReportInterval, publishEvidence } = this.#options;
        const now = clock.monotonic();
        if (now - this.#publishedAt < getReportInterval()) {
            return;
        }
        const value = encodeReport(own);
        if (this.#publishedReport?.equals(value) !== true) {
            this.#publishedAt = now;
            this.#publishedReport = value;
            publishEvidence(this.order.pool, value);
        }
    }

    #getTotal(own: EvidenceReport): ReportTotal {
        const { clock, getEvidence } = this.#options;
        return this.#peerReports.getTotal(own, getEvidence(this.order.pool), clock.monotonic());
    }

    #evaluate({ segments }: ReportTotal): void {
        if (this.#isHalted) {
            return;
        }
        this.#timeReferences.update(segments, this.#options.clock.monotonic());
        const regression = evaluateRollout(segments, this.#timeReferences);
        if (regression === undefined) {
            return;
        }
        const { segment, reason, candidate, current } = regression;
        this.halt(`${reason} in ${segment}: ${candidate.toFixed(2)} against ${current.toFixed(2)}`);
        this.#options.publishHalt(this.order.pool, this.order.id);
    }

    #advance(total: ReportTotal, rank: number): void {
        const now = this.#options.clock.monotonic();
        const situation = this.#getSituation(total, now);
        const next = planRollout(situation);
        if (next === undefined) {
            this.#dueSince = undefined;
            this.#writeWait(situation, total, rank);
            return;
        }
        this.#dueSince ??= now;
        const hasTakenLastStep = this.#progress !== undefined && this.#progress.step === this.#lastWrittenStep;
        const delay = getStepDelay({ rank, hasTakenLastStep });
        if (now - this.#dueSince < delay || now - this.#lastWriteAt < minWriteIntervalMilliseconds) {
            return;
        }
        this.#lastWriteAt = now;
        this.#lastWrittenStep = next.step;
        this.#options.journal.write(events.rolloutStepTaken, {
            ...this.#describe(situation, total),
            state: next.state,
            share: next.share,
            reason: explainStep(situation, next),
        });
        void this.#options.writeProgress(this.order, next);
    }

    /** Writes what the next step waits for, if that has changed. Only the node that would take the step writes it. */
    #writeWait(situation: RolloutSituation, total: ReportTotal, rank: number): void {
        const awaited = explainWait(situation);
        const wait = `${this.#progress?.step} ${situation.evidence} ${awaited}`;
        if (rank > 0 || wait === this.#writtenWait) {
            return;
        }
        this.#writtenWait = wait;
        const share = this.#progress?.share ?? 0;
        this.#options.journal.write(events.rolloutStepWaits, {
            ...this.#describe(situation, total),
            share,
            awaited,
        });
    }

    #describe({ evidence }: RolloutSituation, { segments, ages }: ReportTotal): Record<string, string> {
        const { pool, version } = this.order;
        return { rollout: pool, version, evidence, ...summarizeEvidence(segments), reports: summarizeReports(ages) };
    }

    #getSituation({ currentInFlight, segments }: ReportTotal, now: number): RolloutSituation {
        const { clock, registry, exposureShare } = this.#options;
        const upstreams = registry.getAvailable(this.order.pool);
        const candidateCount = upstreams.filter(upstream => upstream.version === this.order.version).length;
        return {
            order: this.order,
            progress: this.#progress,
            elapsedMilliseconds: now - this.#orderedAt,
            announcementAgeMilliseconds: this.#announcedAt === undefined ? 0 : now - this.#announcedAt,
            isBad: this.#isHalted,
            evidence: assessEvidence(segments, this.#timeReferences),
            candidateCount,
            currentCount: upstreams.length - candidateCount,
            currentInFlight,
            exposureShare,
            wallNow: clock.wall(),
        };
    }
}
