/**
 * Fetches folded state from peers while this entry cannot read the log.
 */
import { type Clock, RepeatedTask } from "../common/index.js";
import type { ConfigurationReader } from "../configuration/index.js";
import type { ControlReader } from "../control/index.js";
import type { FetchStateReply, FetchStateRequest } from "../generated/peer.js";
import type { Member, Membership, PeerClient } from "../membership/index.js";

const pauseMilliseconds = 500;
const configurationStream = "config";
const controlStream = "control";

/** Minimum age of the configuration at which peers are queried, in milliseconds. */
const minFetchAgeMilliseconds = 3000;
/** Time that the log may take to answer beyond the wait of a long poll, in milliseconds. */
const logLatencyAllowanceMilliseconds = 500;
/** Maximum number of peers queried in one round. */
const maxPeersPerRound = 3;

/** Options of a fetcher. */
export interface StateFetcherOptions {
    readonly clock: Clock;
    readonly configuration: Pick<
        ConfigurationReader,
        "confirm" | "exportState" | "getAge" | "getFormat" | "getOffset" | "importState"
    >;
    readonly control: Pick<ControlReader, "exportState" | "getOffset" | "importState">;
    readonly membership: Pick<Membership, "getMembers">;
    readonly client: Pick<PeerClient, "fetchState">;
    /** Name of this entry. */
    readonly self: string;
    readonly getCounter: () => number;
    /** Draws a random integer from 0 (included) to a bound (excluded). */
    readonly nextInteger: (bound: number) => number;
    /** How long a long poll of the log waits, in milliseconds. */
    readonly logWaitMilliseconds: number;
}

/** Fetches state from peers, and serves it to them. */
export class StateFetcher {
    readonly #options: StateFetcherOptions;
    readonly #task: RepeatedTask;
    readonly #fetchAgeMilliseconds: number;

    constructor(options: StateFetcherOptions) {
        // A read confirms the configuration as of the time of its request, and the next read ends one wait later. An
        // age of up to two waits is therefore normal. With a lower threshold, nodes whose log was available queried
        // three peers half of the time.
        const maxNormalAgeMilliseconds = 2 * options.logWaitMilliseconds + logLatencyAllowanceMilliseconds;
        this.#fetchAgeMilliseconds = Math.max(minFetchAgeMilliseconds, maxNormalAgeMilliseconds);
        this.#options = options;
        this.#task = new RepeatedTask({ run: () => this.#fetch(), pauseMilliseconds });
    }

    /** Starts to fetch newer state. */
    start(): void {
        this.#task.start();
    }

    /** Stops fetching. */
    stop(): Promise<void> {
        return this.#task.stop();
    }

    /**
     * Handles a peer's request for state.
     * @param request - The request.
     * @param protocol - The newest protocol that the peer reads.
     */
    handle(request: FetchStateRequest, protocol: number): FetchStateReply {
        const { configuration, control } = this.#options;
        const isControl = request.stream === controlStream;
        const offset = isControl ? control.getOffset() : configuration.getOffset();
        // An older peer cannot read a tree that uses sections added later. It is sent no newer state, stops confirming
        // its own and finally refuses new work, as it does when it reads such a record in the log.
        const isReadable = isControl || configuration.getFormat() <= protocol;
        const newer = isReadable && offset > request.knownOffset;
        return {
            newer,
            offset,
            state: newer ? encode(isControl ? control.exportState() : configuration.exportState()) : Buffer.alloc(0),
            counter: this.#options.getCounter(),
            ageMilliseconds: Math.min(Number.MAX_SAFE_INTEGER, Math.ceil(configuration.getAge())),
            heldMilliseconds: 0,
            complete: true,
        };
    }

    async #fetch(): Promise<void> {
        const { configuration } = this.#options;
        if (configuration.getAge() < this.#fetchAgeMilliseconds) {
            return;
        }
        for (const peer of this.#selectPeers()) {
            await this.#fetchConfiguration(peer);
            await this.#fetchControl(peer);
        }
    }

    #selectPeers(): readonly Member[] {
        const { membership, self, nextInteger } = this.#options;
        const candidates = membership.getMembers().filter(member => member.id !== self && member.state === "alive");
        const selected: Member[] = [];
        while (selected.length < maxPeersPerRound && candidates.length > 0) {
            selected.push(...candidates.splice(nextInteger(candidates.length), 1));
        }
        return selected;
    }

    /**
     * Imports a peer's configuration if it is newer. A peer at the same offset that confirmed it with the log also
     * confirms this entry's configuration, as of the time of the peer's confirmation.
     */
    async #fetchConfiguration(peer: Member): Promise<void> {
        const { configuration, clock } = this.#options;
        const requestedAt = clock.monotonic();
        const reply = await this.#requestState(peer, configurationStream, configuration.getOffset());
        if (reply === undefined) {
            return;
        }
        if (reply.newer) {
            const { state } = decode(reply.state) as { state: unknown; };
            configuration.importState(state, reply.offset);
        }
        if (reply.offset === configuration.getOffset()) {
            configuration.confirm(requestedAt - reply.ageMilliseconds);
        }
    }

    async #fetchControl(peer: Member): Promise<void> {
        const { control } = this.#options;
        const reply = await this.#requestState(peer, controlStream, control.getOffset());
        if (reply?.newer === true) {
            control.importState(decode(reply.state));
        }
    }

    async #requestState(peer: Member, stream: string, knownOffset: number): Promise<FetchStateReply | undefined> {
        const reply = await this.#options.client.fetchState(peer, {
            stream,
            knownOffset,
            counter: this.#options.getCounter(),
            waitMilliseconds: 0,
            whole: false,
        });
        return reply.unwrapOr(undefined);
    }
}

function encode(state: unknown): Buffer {
    return Buffer.from(JSON.stringify(state));
}

function decode(state: Uint8Array): unknown {
    return JSON.parse(Buffer.from(state).toString());
}
