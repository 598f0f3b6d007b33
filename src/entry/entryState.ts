/**
 * Facts about the entry as a whole that several parts need.
 */
import type { ConfigurationReader } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import { getEffectiveAge, maxFreshAgeMilliseconds } from "./freshness.js";

/** What the state is taken from. */
export interface EntryStateOptions {
    readonly configuration: ConfigurationReader;
    readonly membership: Membership;
    /** Name of this entry. */
    readonly self: string;
    readonly isPeerFresh: (origin: string) => boolean;
    /** Whether the upstreams have been asked what they have loaded. */
    readonly hasPolledUpstreams: () => boolean;
}

/** Knows whether the entry may serve, and how current its configuration is. */
export class EntryState {
    readonly #options: EntryStateOptions;

    constructor(options: EntryStateOptions) {
        this.#options = options;
    }

    /** Tells whether there is a configuration to serve by, and the upstreams are known. */
    isReady(): boolean {
        return this.#options.configuration.getOffset() > 0 && this.#options.hasPolledUpstreams();
    }

    /** Returns the age of the configuration that counts for refusing work, in milliseconds. */
    getConfigurationAge(): number {
        const { configuration, membership } = this.#options;
        const ownAgeMilliseconds = configuration.getAge();
        if (ownAgeMilliseconds <= maxFreshAgeMilliseconds) {
            // The common case, asked for each request: no word of the others can change it, so they aren't counted.
            return ownAgeMilliseconds;
        }
        return getEffectiveAge({
            ownAgeMilliseconds,
            isMajorityUnreachable: membership.isMajorityUnreachable(),
            peers: this.#getPeers(),
            ownOffset: configuration.getOffset(),
        });
    }

    *#getPeers() {
        const { membership, self, isPeerFresh } = this.#options;
        for (const member of membership.getMembers()) {
            if (member.id !== self && member.state === "alive") {
                yield { isFresh: isPeerFresh(member.id), configurationOffset: member.configurationOffset };
            }
        }
    }
}
