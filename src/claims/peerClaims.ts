/**
 * Transfers claims between entries.
 */
import type {
    Claim,
    ClaimDecision as DecisionMessage,
    DecideClaimsReply,
    DecideClaimsRequest,
} from "../generated/peer.js";
import type { Membership, PeerClient } from "../membership/index.js";
import type { RemoteDecider } from "./claimClient.js";
import type { ClaimDecision, ClaimOperation } from "./claimOperation.js";
import type { CollectorPool, PoolDecision } from "./collectorPool.js";

const defaultCallTimeoutMilliseconds = 1_000;
const unavailable = "unavailable";

/** Options for requesting decisions from peers. */
export interface PeerClaimsOptions {
    /** This node's identifier. */
    readonly self: string;
    readonly membership: Pick<Membership, "getCollector">;
    readonly client: Pick<PeerClient, "decideClaims">;
    /** Returns this node's Lamport counter. */
    readonly getCounter: () => number;
    /** Timeout of a call to a peer, after which this node collects the claim itself. */
    readonly callTimeoutMilliseconds?: number;
}

/**
 * Returns the name by which a partition is assigned to a member.
 * @param partition - The partition.
 */
export function getPartitionName(partition: number): string {
    return `claims-${partition}`;
}

/**
 * Creates the function that requests decisions from a partition's collector on another node.
 * @param options - The options.
 */
export function createRemoteDecider(options: PeerClaimsOptions): RemoteDecider {
    return async (partition, operation) => {
        const collector = options.membership.getCollector(getPartitionName(partition));
        if (collector === undefined || collector.id === options.self) {
            return undefined;
        }
        const request: DecideClaimsRequest = {
            sender: options.self,
            partition,
            claims: [encodeOperation(operation)],
            counter: options.getCounter(),
        };
        const timeoutMilliseconds = options.callTimeoutMilliseconds ?? defaultCallTimeoutMilliseconds;
        const reply = await options.client.decideClaims(collector, request, timeoutMilliseconds);
        // A call without an answer may have been executed: the collector may still write the operation.
        const unknownDecision: PoolDecision = { id: operation.id, mayHaveTakenEffect: true };
        return reply.match(({ decisions }) => {
            const decision = decisions.find(found => found.id === operation.id);
            return decision === undefined ? unknownDecision : decodeDecision(operation, decision);
        }, () => unknownDecision);
    };
}

/**
 * Handles claims that a peer sent.
 * @param pool - The collectors of this node.
 * @param request - The request of the peer.
 * @param getCounter - Returns this node's Lamport counter.
 */
export async function handleDecideClaims(
    pool: Pick<CollectorPool, "decide">,
    request: DecideClaimsRequest,
    getCounter: () => number,
): Promise<DecideClaimsReply> {
    const decisions = await pool.decide(request.partition, request.claims.map(decodeOperation));
    return { decisions: decisions.map(encodeDecision), counter: getCounter() };
}

function encodeOperation({ id, key, value, kind, outcome }: ClaimOperation): Claim {
    return { id, key, value, kind, outcome: outcome ?? "" };
}

function decodeOperation({ id, key, value, kind, outcome }: Claim): ClaimOperation {
    switch (kind) {
        case "release":
            return { kind, id, key, value };
        case "complete":
            return { kind, id, key, value, outcome };
        default:
            return { kind: "claim", id, key, value };
    }
}

function encodeDecision({ id, decision, mayHaveTakenEffect }: PoolDecision): DecisionMessage {
    return {
        id,
        verdict: decision?.verdict ?? unavailable,
        value: decision?.value ?? "",
        outcome: decision?.outcome ?? "",
        mayHaveTakenEffect,
    };
}

function decodeDecision({ kind, id }: ClaimOperation, message: DecisionMessage): PoolDecision {
    const verdict = parseVerdict(message.verdict);
    if (verdict === undefined) {
        return { id, mayHaveTakenEffect: message.mayHaveTakenEffect };
    }
    const outcome = verdict === "completed" ? message.outcome : undefined;
    return { id, mayHaveTakenEffect: true, decision: { kind, id, verdict, value: message.value, outcome } };
}

function parseVerdict(text: string): ClaimDecision["verdict"] | undefined {
    switch (text) {
        case "granted":
        case "held":
        case "completed":
        case "released":
        case "releasing":
            return text;
        default:
            return undefined;
    }
}
