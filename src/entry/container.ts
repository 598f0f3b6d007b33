/**
 * Creates the container of an entry.
 */
import { asFunction, asValue, type AwilixContainer, createContainer, InjectionMode, Lifetime } from "awilix";
import { RandomSource, systemClock } from "../common/index.js";
import { createCallerHash } from "../decisions/index.js";
import type { EntrySettings } from "../settings/index.js";
import type { Cradle } from "./cradle.js";
import { callerParts } from "./parts/callerParts.js";
import { decisionParts } from "./parts/decisionParts.js";
import { peerParts } from "./parts/peerParts.js";
import { platformParts } from "./parts/platformParts.js";
import { relayParts } from "./parts/relayParts.js";

/**
 * Creates the container of an entry. Each part is created once, when it is first requested.
 * @param settings - The entry's validated settings.
 */
export async function createEntryContainer(settings: EntrySettings): Promise<AwilixContainer<Cradle>> {
    const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY, strict: true });
    container.register({
        settings: asValue(settings),
        clock: asValue(systemClock),
        random: asValue(new RandomSource(Math.floor(Math.random() * 2 ** 31))),
        callerHash: asValue(await createCallerHash()),
    });
    for (const factories of [platformParts, relayParts, peerParts, decisionParts, callerParts]) {
        for (const [name, create] of Object.entries(factories)) {
            container.register(
                name,
                asFunction(create as (cradle: Cradle) => unknown, { lifetime: Lifetime.SINGLETON }),
            );
        }
    }
    return container;
}
