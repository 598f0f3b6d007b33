/** The runners of a soak test, with their faults and statements, and what they received. */
import type { ServerResponse } from "node:http";
import type { RandomSource } from "../../../src/common/index.js";
import type { PlatformSite } from "../platformSite.js";
import { createSeal, type ReceivedRequest } from "../standins/runnerStandin.js";
import { RunEnds, type RunnerFailure } from "./runEnds.js";
import { RunnerSilence } from "./runnerSilence.js";
import type { SoakCallers } from "./soakCallers.js";
import type { ExecutedRequest } from "./soakChecks.js";
import { type Crash, findCrashViolations, isCrashing } from "./soakCrashes.js";
import type { SoakFramings } from "./soakFramings.js";
import { findLimitViolations, type LimitedArrival, type NodeOutage, statedPerSecond } from "./soakLimit.js";
import { cutOffUnread, SoakLoad } from "./soakLoads.js";
import { createBehaviour, type RunnerFault } from "./soakRunners.js";
import {
    findStatementViolations,
    leavingRunner,
    restingRunner,
    state,
    type StatementArrival,
} from "./soakStatements.js";

const faultShare = 0.3;
/** Time after the start of an answer in which a runner crashes, and for which it is down. */
const crashMilliseconds = 40;
const downMilliseconds = 800;
/** A runner without faults that states a rate limit. */
const limitedRunner = "i-limited";
const statingRunners: readonly string[] = [limitedRunner, restingRunner, leavingRunner];

/** Options of a set of runners. */
export interface RunnerSetOptions {
    readonly site: PlatformSite;
    readonly random: RandomSource;
    /** Whether one more runner states a rate limit. */
    readonly hasLimit: boolean;
    /** Whether two more runners leave and ask for rest. */
    readonly hasStatements: boolean;
    /** Whether a part of prompts crashes runners. */
    readonly hasCrashes: boolean;
    /** Draws how answers are framed and broken off; undefined if all are alike. */
    readonly framings: SoakFramings | undefined;
}

/** Sets how runners behave and records the requests that they ran or rejected. */
export class RunnerSet {
    readonly executed: ExecutedRequest[] = [];
    readonly ends = new RunEnds();
    readonly #inHand = new Map<ServerResponse, { readonly runner: string; readonly request: ReceivedRequest; }>();
    readonly #silences = new Map<string, RunnerSilence>();
    readonly #options: RunnerSetOptions;
    readonly #arrivals: StatementArrival[] = [];
    readonly #crashes: Crash[] = [];
    /** Number of times that each runner has started again. */
    readonly #restarts = new Map<string, number>();
    readonly #loads = new Map<string, SoakLoad>();
    readonly #startedAt = performance.now();

    constructor(options: RunnerSetOptions) {
        this.#options = options;
    }

    /** Adds the runners that state something. */
    async addStating(): Promise<void> {
        const { site, hasLimit, hasStatements } = this.#options;
        for (const id of [...hasLimit ? [limitedRunner] : [], ...hasStatements ? [restingRunner, leavingRunner] : []]) {
            await site.addRunner(id);
            this.set(id, "none");
        }
    }

    /** Sets how a runner fails a share of its requests. */
    set(id: string, fault: RunnerFault): void {
        const { site, random, framings } = this.#options;
        const silence = this.#getSilence(id);
        const onFailure = (request: ReceivedRequest, failure: RunnerFailure): void => this.ends.fail(request, failure);
        const behaviour = createBehaviour({ fault, share: faultShare, random, silence, framings, onFailure });
        const load = this.#getLoad(id);
        site.runners.get(id)!.behaviour = async (request, response) => {
            this.#inHand.set(response, { runner: id, request });
            response.once("close", () => this.#inHand.delete(response));
            this.ends.watch(request, response);
            const isRejected = await silence.findRejection();
            // A runner that has crashed meanwhile knows nothing of the request.
            if (this.ends.get(request)?.kind === "broken-off") {
                return undefined;
            }
            // One whose caller has left meanwhile runs all the same, but never closes again.
            if (!response.destroyed) {
                load.add(response);
                cutOffUnread(response, () => {
                    onFailure(request, "broken-off");
                    framings?.markClosed(request);
                });
            }
            if (isRejected) {
                const headers = { "Attempt-Id": String(request.headers["attempt-id"]), "Not-Executed": "1" };
                response.writeHead(503, headers).end();
                return undefined;
            }
            if (this.#isRejected(id, request, response)) {
                return undefined;
            }
            this.executed.push({ request, at: performance.now(), runner: id });
            if (id === limitedRunner) {
                response.setHeader("Server-Limit", String(statedPerSecond));
            }
            if (this.#options.hasCrashes && isCrashing(request)) {
                return this.#crash(id, request, response);
            }
            return behaviour(request, response);
        };
    }

    /** Begins to answer and crashes. */
    #crash(id: string, request: ReceivedRequest, response: ServerResponse): void {
        const attempt = String(request.headers["attempt-id"]);
        const next = Number(request.headers["last-event-id"] ?? 0) + 1;
        this.#crashes.push({ request: attempt, at: performance.now() });
        response.writeHead(200, { ...createSeal(request), "Content-Type": "text/event-stream" });
        response.write(`id: ${next}\ndata: ${attempt}\n\n`);
        setTimeout(() => this.restart(id, downMilliseconds), crashMilliseconds);
    }

    /** Crashes a runner, which starts again and breaks off what it has in hand. */
    restart(id: string, milliseconds: number): void {
        for (const { runner, request } of this.#inHand.values()) {
            if (runner === id) {
                this.ends.fail(request, "broken-off");
            }
        }
        this.#restarts.set(id, (this.#restarts.get(id) ?? 0) + 1);
        this.#options.site.restartRunner(id, milliseconds);
    }

    /** The runners that may fall silent. Those that state something may not: what they receive has its time. */
    get silentIds(): readonly string[] {
        return [...this.#silences.keys()].filter(id => !statingRunners.includes(id));
    }

    /** Lets a runner send nothing, begin nothing and notice nothing for a time, after which it goes on. */
    silence(id: string, milliseconds: number): void {
        this.#getSilence(id).begin(milliseconds);
    }

    #getSilence(id: string): RunnerSilence {
        const silence = this.#silences.get(id) ?? new RunnerSilence();
        this.#silences.set(id, silence);
        return silence;
    }

    #getLoad(id: string): SoakLoad {
        const load = this.#loads.get(id) ?? new SoakLoad();
        this.#loads.set(id, load);
        return load;
    }

    /** Returns where nodes did not keep to what runners have stated, one line each. */
    findViolations({ observed }: SoakCallers, outages: readonly NodeOutage[]): readonly string[] {
        const sent = new Map(observed.map(({ id, address, sentAt }) => [id, { node: address, sentAt }]));
        const limited: LimitedArrival[] = [];
        for (const { request, at, runner } of this.executed) {
            const node = sent.get(String(request.headers["attempt-id"]))?.node;
            if (runner === limitedRunner && node !== undefined) {
                limited.push({ at, node });
            }
        }
        return [
            ...this.#options.hasLimit ? findLimitViolations(limited, outages) : [],
            ...findStatementViolations(this.#arrivals, sent, outages),
            ...findCrashViolations(this.#crashes, sent, outages),
        ];
    }

    #isRejected(runner: string, { headers }: ReceivedRequest, response: ServerResponse): boolean {
        if (runner !== restingRunner && runner !== leavingRunner) {
            return false;
        }
        const at = performance.now();
        const request = String(headers["attempt-id"]);
        const { isRejected, isTold } = state({ runner, request, elapsed: at - this.#startedAt }, response);
        this.#arrivals.push({ runner, start: this.#restarts.get(runner) ?? 0, request, at, isTold });
        return isRejected;
    }
}
