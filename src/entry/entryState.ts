/**
 * State of the entry as a whole that several parts need.
 */
import type { ConfigurationReader } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import { getEffectiveAge, maxFreshAgeMilliseconds } from "./freshness.js";

/** Options of the entry state. */
export interface EntryStateOptions {
    readonly configuration: ConfigurationReader;
    readonly membership: Membership;
    /** Name of this entry. */
    readonly self: string;
    readonly isPeerFresh: (origin: string) => boolean;
    /** Whether the upstreams have been queried for the versions that they have loaded. */
    readonly hasPolledUpstreams: () => boolean;
}

/** Determines whether the entry may serve, and how current its configuration is. */
export class EntryState {
    readonly #options: EntryStateOptions;

    constructor(options: EntryStateOptions) {
        this.#options = options;
    }

    /** Returns whether the entry has a configuration and has polled the upstreams. */
    isReady(): boolean {
        return this.#options.configuration.getOffset() > 0 && this.#options.hasPolledUpstreams();
    }

    /** Returns the age of the configuration by which work is refused, in milliseconds. */
    getConfigurationAge(): number {
        const { configuration, membership } = this.#options;
        const ownAgeMilliseconds = configuration.getAge();
        if (ownAgeMilliseconds <= maxFreshAgeMilliseconds) {
            // The common case, evaluated for each request. The peers' state cannot change the result, so it is not
            // collected.
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
