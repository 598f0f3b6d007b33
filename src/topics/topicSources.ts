/**
 * Picks the source from which a node reads topics: the store, or a peer that reads it.
 */
import type { Clock } from "../common/index.js";
import { getUnitRank } from "../decisions/index.js";
import type { Membership, NodeIdentity, PeerAddress, PeerClient } from "../membership/index.js";
import type { KeyedTopicReader } from "./keyedTopic.js";
import { createPeerReader } from "./peerTopics.js";
import { chooseReadSource } from "./readSource.js";
import { StoreBackoff } from "./storeBackoff.js";

/** Time for which a node that failed to answer is avoided, in milliseconds. A restart takes about two seconds. */
const avoidMilliseconds = 3_000;

/** Dependencies of the choice. */
export interface TopicSourcesOptions {
    readonly self: NodeIdentity;
    readonly membership: Membership;
    readonly peerClient: PeerClient;
    /** Must also count the time during which the process is suspended. */
    readonly clock: Clock;
    /** Returns addresses at which peers may listen that are not known as members. */
    readonly getSeeds: () => readonly { readonly host: string; readonly port: number; }[];
}

/** A read for which a source is picked. */
export interface TopicRead {
    readonly topic: string;
    readonly storeReader: KeyedTopicReader;
    /** Whether the topic has been read once. */
    readonly isLoaded: boolean;
    /** Number of consecutive reads that failed or left the state old. */
    readonly fallbackReads: number;
}

/** Picks sources, and avoids peers that recently did not answer. */
export class TopicSources {
    readonly #options: TopicSourcesOptions;
    /** Cached, since every choice of a source ranks all nodes, several times a second. */
    readonly #ranks = new Map<string, number>();
    /** Monotonic time until which a node that did not answer is avoided. */
    readonly #avoidedUntil = new Map<string, number>();
    readonly #storeBackoff: StoreBackoff;

    constructor(options: TopicSourcesOptions) {
        this.#options = options;
        const isUsualReader = (): boolean => {
            const { self, membership } = options;
            const ownRank = this.#getRank(self.id);
            return membership.getPresumedAlive().every(({ id }) => this.#getRank(id) <= ownRank);
        };
        this.#storeBackoff = new StoreBackoff({ clock: options.clock, isUsualReader });
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
            // A single failure concerns the usual source, which is avoided from then on. The node with the next rank
            // replaces it.
            isStale: !isLoaded || fallbackReads > 1,
            isStoreAvoided: this.#storeBackoff.isWaiting(),
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
            // No member is known yet, because the store, which holds their records, does not answer.
            return this.#createPeerReader(topic, { id: seed.host, address: seed.host, peerPort: seed.port });
        }
        return this.#storeBackoff.observe(storeReader);
    }

    #isAvoided(node: string): boolean {
        return this.#options.clock.monotonic() < (this.#avoidedUntil.get(node) ?? Number.NEGATIVE_INFINITY);
    }

    /**
     * Avoids a node for some time, so that all nodes choose the same next reader before gossip reports the first one as
     * dead.
     */
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
