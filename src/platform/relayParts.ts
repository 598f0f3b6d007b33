/**
 * Creates the parts with which nodes forward requests for each other, from the other parts of a node.
 */
import type { Dispatcher } from "undici";
import type { RegisteredUpstream } from "../fleet/index.js";
import type { UpstreamLife } from "../quarantine/index.js";
import {
    createCrashProbe,
    createRelayInterceptor,
    probeLife,
    Reachability,
    RelayPeers,
    RelayServer,
    SharedReachability,
} from "../reachability/index.js";
import { isAcceptingConnections } from "../upstream/index.js";
import type { NodeParts } from "./nodeParts.js";

/** Creates the knowledge of the pools that this node reaches. */
export function createReachability({ clock, random, journal, registry }: NodeParts): Reachability {
    return new Reachability({
        clock,
        random,
        journal,
        getPools: () => registry.getPools(),
        getUpstreams: pool => registry.getAvailable(pool),
        probe: isAcceptingConnections,
    });
}

/** Creates the knowledge of the pools that other nodes reach. */
export function createSharedReachability({ self, gossip, reachability }: NodeParts): SharedReachability {
    return new SharedReachability({ self: self.id, gossip, reachability });
}

/** Creates the choice of the nodes that forward requests for this one. */
export function createRelayPeers({ clock, random, self, membership, sharedReachability }: NodeParts): RelayPeers {
    return new RelayPeers({
        clock,
        random,
        self: self.id,
        getMembers: () => membership.getAddressable(),
        reaches: (node, pool) => sharedReachability.reaches(node, pool),
    });
}

/** Creates the part that forwards requests for other nodes. */
export function createRelayServer({ registry, upstreamClient, shutdown }: NodeParts): RelayServer {
    return new RelayServer(id => {
        const upstream = registry.get(id);
        const isAvailable = upstream !== undefined && registry.isAvailable(upstream);
        return isAvailable ? upstreamClient.getRelayTarget(upstream) : undefined;
    }, () => shutdown.canFinishUnknown());
}

/** Creates the interceptor that sends requests to upstreams through other nodes. */
export function createNodeRelayInterceptor(
    { registry, relayPeers, peerClient }: NodeParts,
): Dispatcher.DispatcherComposeInterceptor {
    return createRelayInterceptor({
        peers: relayPeers,
        findRelayed: address => findUpstream(registry.getAll(), address),
        open: (peer, request) => peerClient.relay(peer, request),
    });
}

/** Creates the check for crashed upstreams. */
export function createNodeCrashProbe({ registry, reachability }: NodeParts): (address: string) => Promise<boolean> {
    return createCrashProbe({ reachability, findUpstream: address => findUpstream(registry.getAll(), address) });
}

/** Creates the look whether an upstream that refuses no connections still runs. */
export function createNodeLifeProbe(
    { clock, registry, reachability, upstreamClient }: NodeParts,
): (upstream: RegisteredUpstream) => Promise<UpstreamLife> {
    return async upstream => {
        if (registry.isReplaced(upstream)) {
            return "ended";
        }
        return await probeLife(upstream, {
            clock,
            reachability,
            checkLiveness: () => upstreamClient.checkLiveness(upstream),
        });
    };
}

function findUpstream(upstreams: Iterable<RegisteredUpstream>, address: string): RegisteredUpstream | undefined {
    for (const upstream of upstreams) {
        if (upstream.address === address) {
            return upstream;
        }
    }
    return undefined;
}
