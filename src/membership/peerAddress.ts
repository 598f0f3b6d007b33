/**
 * Who a node is, where its peers listen, and what carries gossip between them.
 */
import type { ExchangeReply, ExchangeRequest, PushRequest } from "../generated/peer.js";

/** The node itself. */
export interface NodeIdentity {
    readonly id: string;
    readonly address: string;
    readonly peerPort: number;
    readonly failureDomain: string;
    readonly region: string;
}

/** Where a peer listens. */
export interface PeerAddress {
    readonly id: string;
    readonly address: string;
    readonly peerPort: number;
}

/** Carries messages to peers. A message that is not answered yields undefined. */
export interface GossipTransport {
    readonly exchange: (peer: PeerAddress, request: ExchangeRequest) => Promise<ExchangeReply | undefined>;
    readonly push: (peer: PeerAddress, request: PushRequest) => Promise<boolean>;
}
