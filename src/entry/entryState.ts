/**
 * Facts about the entry as a whole that several parts need.
 */
import type { ConfigurationReader } from "../configuration/index.js";
import type { Membership } from "../membership/index.js";
import { freshMilliseconds, getEffectiveAge } from "./freshness.js";

/** What the state is taken from. */
export interface EntryStateOptions {
    readonly configuration: ConfigurationReader;
    readonly membership: Membership;
    /** Name of this entry. */
    readonly self: string;
    readonly isOtherFresh: (origin: string) => boolean;
    /** Whether the upstreams have been asked what they have loaded. */
    readonly hasAskedUpstreams: () => boolean;
}

/** Knows whether the entry may serve, and how current its configuration is. */
export class EntryState {
    readonly #options: EntryStateOptions;

    constructor(options: EntryStateOptions) {
        this.#options = options;
    }

    /** Tells whether there is a configuration to serve by, and the upstreams are known. */
    isReady(): boolean {
        return this.#options.configuration.getOffset() > 0 && this.#options.hasAskedUpstreams();
    }

    /** Returns the age of the configuration that counts for refusing work, in milliseconds. */
    getConfigurationAge(): number {
        const { configuration, membership } = this.#options;
        const ownAgeMilliseconds = configuration.getAge();
        if (ownAgeMilliseconds <= freshMilliseconds) {
            // The common case, asked for each request: no word of the others can change it, so they aren't counted.
            return ownAgeMilliseconds;
        }
        return getEffectiveAge({
            ownAgeMilliseconds,
            isMajorityAway: membership.isMajorityUnreachable(),
            others: this.#getOthers(),
            ownOffset: configuration.getOffset(),
        });
    }

    *#getOthers() {
        const { membership, self, isOtherFresh } = this.#options;
        for (const member of membership.getMembers()) {
            if (member.id !== self && member.state === "alive") {
                yield { isFresh: isOtherFresh(member.id), configurationOffset: member.configurationOffset };
            }
        }
    }
}
