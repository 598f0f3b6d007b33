/**
 * Identity of a node, address of a peer, and the transport of gossip messages.
 */
import type { ExchangeReply, ExchangeRequest, PushRequest } from "../generated/peer.js";

/** Identity of a node. */
export interface NodeIdentity {
    readonly id: string;
    readonly address: string;
    readonly peerPort: number;
    readonly failureDomain: string;
    readonly region: string;
}

/** Address on which a peer listens. */
export interface PeerAddress {
    readonly id: string;
    readonly address: string;
    readonly peerPort: number;
}

/** Sends messages to peers. The result is undefined or false when the peer does not answer. */
export interface GossipTransport {
    readonly exchange: (peer: PeerAddress, request: ExchangeRequest) => Promise<ExchangeReply | undefined>;
    readonly push: (peer: PeerAddress, request: PushRequest) => Promise<boolean>;
}
