/**
 * Sends requests to single upstreams and records the results for the choice of upstreams.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../common/index.js";
import type { CallOutcome, PromptDescription, SendLimit } from "../decisions/index.js";
import { events, type Journal } from "../events/index.js";
import type { RegisteredUpstream } from "../fleet/index.js";
import { measurePauses, type RunnerPaces } from "../pace/index.js";
import type { RunEnd, UpstreamLife, WatchedRun } from "../quarantine/index.js";
import { isRepeatable } from "../routing/index.js";
import type {
    Attempt,
    AttemptFailure,
    AttemptObserver,
    AttemptRequest,
    EndedAttempt,
    StartedAttempt,
} from "./attempt.js";
import { AttemptAdmission, type AttemptAdmissionOptions } from "./attemptAdmission.js";
import {
    classifyFailure,
    formatLoad,
    getFailureReason,
    getUnexpectedType,
    isBroken,
    minErrorStatus,
} from "./attemptOutcome.js";
import { CallCancellation } from "./callCancellation.js";
import type { Exchange } from "./exchange.js";
import type { WatchedHead } from "./headWatch.js";
import { PendingAttempt } from "./pendingAttempt.js";
import type { SelectedUpstream } from "./selectedUpstream.js";
import {
    type ReportedLoad,
    successStatus,
    type UpstreamAnswer,
    type UpstreamCallFailure,
    type UpstreamTransport,
} from "./upstreamCall.js";
import type { UpstreamObserver } from "./upstreamObserver.js";
import { UpstreamSelection } from "./upstreamSelection.js";

/** Options of `Attempts`. */
export interface AttemptsOptions extends AttemptAdmissionOptions {
    readonly clock: Clock;
    readonly journal: Journal;
    /** The limits that the picker observes; here, the requests that were sent are added to them. */
    readonly sendLimit: SendLimit<RegisteredUpstream>;
    readonly transport: UpstreamTransport;
    readonly observer: UpstreamObserver;
    /** Learns how long upstreams take. Without it, nothing is measured. */
    readonly paces?: Pick<RunnerPaces, "add">;
    /** Opens a connection to an address and closes it. Returns whether it was refused because the upstream there has crashed. */
    readonly isRefusingConnections: (address: string) => Promise<boolean>;
    /** Asks whether an upstream that refuses no connections still runs. */
    readonly getLife: (upstream: RegisteredUpstream) => Promise<UpstreamLife>;
    /** Called when an attempt starts. */
    readonly onStart: (attempt: StartedAttempt) => AttemptObserver;
}

/** Urgency of the least urgent priorities. 0 is the most urgent. */
const maxUrgencyValue = 8;

/** Makes attempts at upstreams. */
export class Attempts {
    readonly #options: AttemptsOptions;
    readonly #selection: UpstreamSelection;
    readonly #admission: AttemptAdmission;

    constructor(options: AttemptsOptions) {
        this.#options = options;
        this.#selection = new UpstreamSelection(options);
        this.#admission = new AttemptAdmission(options, this.#selection);
    }

    /**
     * Returns the expected time until an answer to a prompt starts, in milliseconds. Undefined when no upstream is available.
     * @param exchange - The request.
     * @param prompt - The prompt.
     */
    estimate(exchange: Exchange, prompt: PromptDescription): number | undefined {
        const pick = this.#selection.select(exchange, prompt, new Set())?.pick;
        return pick && pick.expectedMilliseconds * this.#options.picker.getWaitRatio();
    }

    /**
     * Starts one attempt.
     * @param request - The request and its timeouts.
     */
    async start(request: AttemptRequest): Promise<Result<PendingAttempt, AttemptFailure>> {
        const selected = await this.#admission.admit(request);
        if (selected.isErr()) {
            return err(selected.error);
        }
        const { pick } = selected.value;
        request.exchange.addAttempt(pick.upstream);
        const head = request.watchHead(pick.expectedMilliseconds * this.#options.picker.getWaitRatio());
        const run = this.#startRun(request.exchange, pick.upstream);
        const cancellation = this.#createCancellation(request, head, run);
        return ok(new PendingAttempt(cancellation, this.#send(request, selected.value, { head, cancellation, run })));
    }

    /** Returns whether a request may crash the upstreams that run it, so that no two of them are to run it at once. */
    isSuspect({ watchedRequest }: Exchange): boolean {
        return this.#options.crashWatch.isSuspect(watchedRequest);
    }

    /** Returns whether a request may not be sent now as it crashes the upstreams that run it. */
    isQuarantined({ watchedRequest }: Exchange): boolean {
        return this.#options.crashWatch.getWait(watchedRequest) !== undefined;
    }

    /**
     * Admits the next attempt of a request whose current one has failed. It waits for room.
     * @param request - The next attempt.
     * @param signal - Ends the wait for room.
     * @returns Whether the next attempt is admitted. If so, it has to be made at once.
     */
    reserve(request: AttemptRequest, signal: AbortSignal): Promise<boolean> {
        return this.#admission.reserve(request, signal);
    }

    /**
     * Admits the next attempt of a request whose current one is silent, if there is room for it now.
     * @param request - The next attempt.
     * @returns Whether the next attempt is admitted. If so, it has to be made at once.
     */
    reserveBeside(request: AttemptRequest): boolean {
        return this.#admission.reserveBeside(request);
    }

    async #send(
        request: AttemptRequest,
        { pick, versionReason }: SelectedUpstream,
        { head, cancellation, run }: {
            readonly head: WatchedHead;
            readonly cancellation: CallCancellation;
            readonly run: WatchedRun;
        },
    ): Promise<Result<Attempt, AttemptFailure>> {
        const { exchange, prompt } = request;
        const { upstream, prefillMilliseconds } = pick;
        const choice = `${pick.reason} at load ${pick.load.toFixed(2)}, ${
            Math.round(pick.expectedMilliseconds)
        } ms expected`;
        const { clock, crashWatch, observer, picker, registry, sendLimit, transport } = this.#options;
        const startedAt = clock.monotonic();
        const number = exchange.attempts;
        const endInRoom = this.#options.waitingRoom.start(upstream);
        const isWarmingUp = registry.warmUps.isWarmingUp(upstream.id);
        let headMilliseconds: number | undefined = undefined;
        let confidence: number | undefined = undefined;
        let load: ReportedLoad | undefined = undefined;
        let isUnframed = false;
        let unexpectedType: string | undefined = undefined;
        let isServed = false;
        let isGivenUp = false;
        let isFinished = false;
        const finish = (outcome: CallOutcome, reason: string, end: RunEnd): void => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            cancellation.dispose();
            endInRoom({ isServed: isServed && outcome === "ok", headMilliseconds });
            exchange.addEvaluation(crashWatch.evaluate(run, end));
            const ended = { exchange, upstream, model: request.model, outcome, headMilliseconds, isGivenUp };
            attemptObserver.onEnd(ended);
            const promptTokens = prompt?.tokens;
            this.#finish(ended, {
                number,
                choice,
                versionReason,
                reason,
                startedAt,
                promptTokens,
                confidence,
                load,
                isUnframed,
                unexpectedType,
                end,
            });
        };
        const { model } = request;
        const attemptObserver = this.#options.onStart({ exchange, upstream, model, isWarmingUp, load: pick.load });
        picker.start(upstream.id);
        sendLimit.add(upstream);
        picker.addPendingPrefill(upstream.id, prefillMilliseconds);
        const endWait = observer.startCall(upstream);
        const result = await transport.call(upstream, {
            request: exchange.request,
            getTimeLeft: () => exchange.getTimeLeft(),
            workspace: exchange.workspace,
            model: request.model,
            urgency: Math.min(maxUrgencyValue, 1 + 2 * exchange.priority),
            lastEventId: request.lastEventId,
            onSent: request.onSent,
            isWithdrawn: () => run.isWithdrawn(),
            confirmCaller: () => exchange.reply.confirmCaller(),
            signal: cancellation.signal,
        });
        cancellation.stopHeadTimeout();
        if (!cancellation.isHeadTimedOut && !cancellation.isReplaced) {
            // One that was admitted just as this attempt was answered is not made at once.
            exchange.takeReservation();
        }
        endWait();
        load = result.match(answer => answer.load, failure => failure.load);
        picker.addPendingPrefill(upstream.id, -prefillMilliseconds);
        if (result.isErr()) {
            head.markFailed();
            if (result.error.kind === "not-sent" || result.error.kind === "no-room") {
                exchange.removeAttempt();
            }
            const isHeadTimedOut = cancellation.isHeadTimedOut || (cancellation.isOverdue && exchange.ended.aborted);
            const isEndedHere = isHeadTimedOut || exchange.ended.aborted || request.withdrawal?.aborted === true;
            isGivenUp = result.error.kind === "broken" && isEndedHere;
            finish(
                classifyFailure(request, result.error, isHeadTimedOut),
                getFailureReason(request, result.error, isHeadTimedOut),
                result.error.kind === "disconnected" ? "disconnected" : "stopped",
            );
            observer.observeFailure(upstream, result.error, startedAt);
            this.#applyFailure(upstream, result.error, isHeadTimedOut);
            return err({ kind: "failed", failure: result.error });
        }
        head.markHead(result.value.status);
        headMilliseconds = clock.monotonic() - startedAt;
        isServed = result.value.status < minErrorStatus;
        if (isServed) {
            attemptObserver.onHead();
        }
        run.markHead();
        confidence = result.value.confidence;
        isUnframed = !result.value.hasKnownEnd;
        unexpectedType = getUnexpectedType(exchange, result.value);
        observer.observeAnswer(upstream, result.value, startedAt);
        if (prompt !== undefined && !isWarmingUp) {
            picker.addHeadTime(prompt.model, headMilliseconds, pick);
        }
        const markSeen = (): void => {
            observer.markSeen(upstream);
            run.markPiece();
        };
        const markSilent = (): void => crashWatch.observeSilence(run);
        const answer = isWarmingUp
            ? result.value
            : this.#measure(request, upstream, result.value, headMilliseconds, attemptObserver.onPause);
        const hasUpstreamCrashed = (): Promise<boolean> => this.#options.isRefusingConnections(upstream.address);
        const confirmEnd = async (): Promise<boolean> =>
            await transport.confirmRunning(upstream, exchange.ended) && !registry.isReplaced(upstream);
        const { cancel } = cancellation;
        const drop = (reason: string): void => {
            isServed = false;
            finish("ok", reason, "stopped");
        };
        return ok({ upstream, answer, finish, drop, cancel, markSeen, markSilent, confirmEnd, hasUpstreamCrashed });
    }

    #startRun(exchange: Exchange, upstream: RegisteredUpstream): WatchedRun {
        const { crashWatch, observer, registry } = this.#options;
        const { route } = exchange;
        const { id, startedAt } = upstream;
        return crashWatch.startRun(exchange.watchedRequest, {
            upstream: {
                id,
                startedAt,
                isRefusingConnections: () => this.#options.isRefusingConnections(upstream.address),
                getLife: () => this.#options.getLife(upstream),
            },
            mayBeLoad: registry.warmUps.isWarmingUp(id) || observer.isRejectionLimited(upstream),
            isLastAttempt: () => !isRepeatable(route) || exchange.attempts >= route.maxAttempts,
        });
    }

    /** Measures how long a successful answer takes: a stream by the pauses between its parts, another one by its head. */
    #measure(
        { exchange, model, prompt }: AttemptRequest,
        upstream: RegisteredUpstream,
        answer: UpstreamAnswer,
        headMilliseconds: number,
        onPause: (milliseconds: number) => void,
    ): UpstreamAnswer {
        const { clock, paces } = this.#options;
        // Failures may be fast or slow for other reasons.
        if (paces === undefined || answer.status !== successStatus) {
            return answer;
        }
        const { load } = answer;
        if (prompt === undefined) {
            paces.add(upstream, { kind: "head", work: exchange.route.name, milliseconds: headMilliseconds, load });
            return answer;
        }
        const work = model ?? prompt.model ?? "";
        const body = measurePauses(answer.body, () => clock.monotonic(), milliseconds => {
            paces.add(upstream, { kind: "pause", work, milliseconds, load });
            onPause(milliseconds);
        });
        return { ...answer, body };
    }

    #createCancellation(
        request: AttemptRequest,
        { timeoutMilliseconds }: WatchedHead,
        run: WatchedRun,
    ): CallCancellation {
        const { exchange, withdrawal } = request;
        const isLate = timeoutMilliseconds === undefined || timeoutMilliseconds >= exchange.getTimeLeft();
        return new CallCancellation({
            ended: exchange.ended,
            withdrawal,
            headTimeoutMilliseconds: isLate ? undefined : timeoutMilliseconds,
            reserveNext: () => {
                this.#options.crashWatch.observeSilence(run);
                return Promise.resolve(this.reserveBeside(request));
            },
        });
    }

    #applyFailure(upstream: RegisteredUpstream, failure: UpstreamCallFailure, isHeadTimedOut: boolean): void {
        const { registry, transport } = this.#options;
        if (isHeadTimedOut && failure.kind !== "no-room") {
            transport.renewConnections(upstream);
        }
        if (failure.kind === "replaced") {
            // The record of a replaced upstream is outdated. Until it is removed, no more requests go to its address
            // under its identifier.
            registry.markLeaving(upstream.id);
        }
    }

    #finish(
        ended: EndedAttempt,
        details: {
            /** Number of the attempt, counted from 1. */
            readonly number: number;
            readonly choice: string;
            readonly versionReason: string | undefined;
            readonly reason: string;
            readonly startedAt: number;
            readonly promptTokens: number | undefined;
            readonly confidence: number | undefined;
            readonly load: ReportedLoad | undefined;
            readonly isUnframed: boolean;
            readonly unexpectedType: string | undefined;
            readonly end: RunEnd;
        },
    ): void {
        const { exchange, upstream, outcome, headMilliseconds } = ended;
        const { clock, journal, picker, registry, metrics } = this.#options;
        metrics.attempts.inc({ pool: upstream.pool, version: upstream.version, outcome });
        if (headMilliseconds !== undefined) {
            metrics.heads.observe({ pool: upstream.pool, model: ended.model ?? "" }, headMilliseconds / 1_000);
        }
        picker.finish(upstream, outcome, registry.getAvailable(upstream.pool));
        journal.write(events.attemptEnded, {
            request: exchange.request.id,
            fingerprint: isBroken(outcome) ? exchange.watchedRequest.getFingerprint() : undefined,
            attempt: details.number,
            upstream: upstream.id,
            version: upstream.version,
            versionReason: details.versionReason,
            model: ended.model,
            promptTokens: details.promptTokens,
            confidence: details.confidence,
            choice: details.choice,
            startedMs: Math.round(details.startedAt - exchange.request.arrivedAt),
            load: details.load && formatLoad(details.load),
            unframed: details.isUnframed || undefined,
            type: details.unexpectedType,
            end: details.end === "complete" ? undefined : details.end,
            outcome,
            reason: details.reason,
            headMs: headMilliseconds === undefined ? undefined : Math.round(headMilliseconds),
            wholeMs: Math.round(clock.monotonic() - details.startedAt),
        });
    }
}
