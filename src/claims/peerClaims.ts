/**
 * Carries claims between entries.
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

/** Options of asking peers. */
export interface PeerClaimsOptions {
    /** This node's identifier. */
    readonly self: string;
    readonly membership: Pick<Membership, "getCollector">;
    readonly client: Pick<PeerClient, "decideClaims">;
    /** Gives this node's Lamport counter. */
    readonly getCounter: () => number;
    /** How long a peer may take before this node collects itself. */
    readonly callTimeoutMilliseconds?: number;
}

/**
 * Gives the name that a partition is distributed over the members by.
 * @param partition - The partition.
 */
export function getPartitionName(partition: number): string {
    return `claims-${partition}`;
}

/**
 * Creates the function that asks a partition's collector on another node.
 * @param options - How to reach it.
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
        // A call that got no answer may have been carried out: the collector may still write the operation.
        const unknownDecision: PoolDecision = { id: operation.id, mayHaveTakenEffect: true };
        return reply.match(({ decisions }) => {
            const decision = decisions.find(found => found.id === operation.id);
            return decision === undefined ? unknownDecision : decodeDecision(operation, decision);
        }, () => unknownDecision);
    };
}

/**
 * Answers a peer's claims.
 * @param pool - This node's collectors.
 * @param request - The peer's call.
 * @param getCounter - Gives this node's Lamport counter.
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
            return text;
        default:
            return undefined;
    }
}
