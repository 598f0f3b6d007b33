/**
 * Whom a node reads topics from: the store, or a peer that reads it.
 */
import type { Clock } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import type { Membership, NodeIdentity, PeerAddress, PeerClient } from "../membership/index.js";
import type { KeyedTopicReader } from "./keyedTopic.js";
import { createPeerReader } from "./peerTopics.js";
import { chooseReadSource } from "./readSource.js";

/** A node that could not tell what the store holds is passed over for so long, in milliseconds; a restart takes about two seconds. */
const avoidMilliseconds = 3_000;

/** What sources are picked with. */
export interface TopicSourcesOptions {
    readonly self: NodeIdentity;
    readonly membership: Membership;
    readonly peerClient: PeerClient;
    /** Counts suspensions, too. */
    readonly clock: Clock;
    /** Returns where a few peers may listen that are not known to be members. */
    readonly getSeeds: () => readonly { readonly host: string; readonly port: number; }[];
}

/** For which read a source is picked. */
export interface TopicRead {
    readonly topic: string;
    readonly storeReader: KeyedTopicReader;
    /** Whether the topic has been read once. */
    readonly isLoaded: boolean;
    /** Reads in a row that failed or left the state old. */
    readonly fallbackReads: number;
}

/** Picks sources, and remembers which peers did not answer. */
export class TopicSources {
    readonly #options: TopicSourcesOptions;
    /** Kept, since the choice of whom to read from ranks all nodes several times a second. */
    readonly #ranks = new Map<string, number>();
    /** Until when a node that did not answer is passed over. */
    readonly #avoidedUntil = new Map<string, number>();

    constructor(options: TopicSourcesOptions) {
        this.#options = options;
    }

    /**
     * Picks the source of a read.
     * @param read - The read.
     */
    pick({ topic, storeReader, isLoaded, fallbackReads }: TopicRead): KeyedTopicReader {
        const { self, membership } = this.#options;
        const source = chooseReadSource({
            self: self.id,
            failureDomain: self.failureDomain,
            alive: membership.getPresumedAlive(),
            isAvoided: node => this.#isAvoided(node),
            // One failure is the usual source's, which is avoided from then on; the next by rank is as good.
            isStale: !isLoaded || fallbackReads > 1,
            fallbackReads: isLoaded ? fallbackReads - 1 : fallbackReads,
            getRank: node => this.#getRank(node),
        });
        if (source.kind === "peer") {
            return this.#createPeerReader(topic, source.peer);
        }
        const seeds = this.#options.getSeeds();
        const seed = seeds[Math.floor(fallbackReads / 2) % Math.max(1, seeds.length)];
        const isAlone = membership.getAlive().length <= 1;
        if (
            isAlone && fallbackReads > 0 && fallbackReads % 2 === 0 && seed !== undefined && seed.host !== self.address
        ) {
            // Nobody is known yet, since the store that would tell does not answer.
            return this.#createPeerReader(topic, { id: seed.host, address: seed.host, peerPort: seed.port });
        }
        return storeReader;
    }

    #isAvoided(node: string): boolean {
        return this.#options.clock.monotonic() < (this.#avoidedUntil.get(node) ?? Number.NEGATIVE_INFINITY);
    }

    /** Asks somebody else for a while, so that nodes agree on the next reader before gossip tells that the first is gone. */
    #avoid(node: string): void {
        this.#avoidedUntil.set(node, this.#options.clock.monotonic() + avoidMilliseconds);
    }

    #getRank(node: string): number {
        let rank = this.#ranks.get(node);
        if (rank === undefined) {
            rank = getUnitRank("reader", node);
            this.#ranks.set(node, rank);
        }
        return rank;
    }

    #createPeerReader(topic: string, peer: PeerAddress): KeyedTopicReader {
        const { clock, peerClient } = this.#options;
        return createPeerReader({
            topic,
            peer,
            clock,
            query: async (to, request, timeoutMilliseconds) => {
                const reply = await peerClient.followState(to, request, timeoutMilliseconds);
                if (reply.isErr()) {
                    this.#avoid(to.id);
                }
                return reply;
            },
        });
    }
}
