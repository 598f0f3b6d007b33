/**
 * Factories of the parts with which entries forward requests for each other.
 */
import type { Dispatcher } from "undici";
import { createWatchedAgent } from "../../connections/index.js";
import {
    createRelayInterceptor,
    Reachability,
    RelayPeers,
    RelayServer,
    SharedReachability,
} from "../../reachability/index.js";
import { isAcceptingConnections } from "../../upstream/index.js";
import type { Vm } from "../../world/index.js";
import type { Cradle, PartFactories } from "../cradle.js";

/** Creates the parts that forward requests. */
export const relayParts: PartFactories = {
    reachability: ({ clock, random, journal, vmWatcher }) =>
        new Reachability({
            clock,
            random,
            journal,
            getPools: () => new Set(getUpstreams(vmWatcher.getVms()).map(({ pool }) => pool)),
            getUpstreams: pool =>
                getUpstreams(vmWatcher.getVms())
                    .filter(vm => vm.pool === pool && vm.state === "live")
                    .map(vm => ({ id: vm.id, address: getAddress(vm) })),
            probe: isAcceptingConnections,
        }),
    sharedReachability: ({ self, gossip, reachability }) =>
        new SharedReachability({ self: self.id, gossip, reachability }),
    relayPeers: ({ clock, random, self, membership, sharedReachability }) =>
        new RelayPeers({
            clock,
            random,
            self: self.id,
            getMembers: () => membership.getAddressable(),
            reaches: (node, pool) => sharedReachability.reaches(node, pool),
        }),
    relayServer: ({ vmWatcher, directUpstreamAgent, announcements, answerObserver }) =>
        new RelayServer(id => {
            const vm = vmWatcher.getVm(id);
            return vm === undefined || vm.role === "entry"
                ? undefined
                : {
                    address: getAddress(vm),
                    dispatcher: directUpstreamAgent,
                    hasRoom: () => announcements.getRestMilliseconds(vm) === 0,
                    observeHead: (statusCode, headers) =>
                        answerObserver.observeRest(vm, { statusCode, headers: toObject(headers) }),
                };
        }),
    directUpstreamAgent: ({ settings, upstreamConnector }) =>
        upstreamConnector?.createDispatcher()
            ?? createWatchedAgent(settings.timing.upstreamConnectTimeoutMilliseconds),
    upstreamAgent: cradle => createRelayingAgent(cradle),
};

/** Creates the dispatcher of all calls to upstreams, which sends them through other entries where this one reaches none. */
function createRelayingAgent(
    { directUpstreamAgent, reachability, relayPeers, peerClient, vmWatcher }: Cradle,
): Dispatcher {
    return directUpstreamAgent.compose(createRelayInterceptor({
        peers: relayPeers,
        findRelayed: address => {
            const vm = findUpstream(vmWatcher.getVms(), address);
            return vm !== undefined && reachability.isUnreachable(vm.pool) ? vm : undefined;
        },
        open: (peer, request) => peerClient.relay(peer, request),
    }));
}

/** Returns the upstream with an address, as `HOST:PORT`. */
export function findUpstream(vms: Iterable<Vm>, address: string): Vm | undefined {
    return getUpstreams(vms).find(vm => getAddress(vm) === address);
}

function getUpstreams(vms: Iterable<Vm>): readonly Vm[] {
    return [...vms].filter(({ role }) => role !== "entry");
}

function getAddress({ address, port }: Vm): string {
    return `${address}:${port}`;
}

/** Returns alternating names and values as an object with names in lower case. */
function toObject(headers: readonly string[]): Readonly<Record<string, string>> {
    const entries: [string, string][] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        entries.push([headers[index].toLowerCase(), headers[index + 1]]);
    }
    return Object.fromEntries(entries);
}
