/**
 * Reads topics through peers: few nodes read the store, and the others read from these nodes.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Clock, Failure } from "../common/index.js";
import type { FetchStateReply, FetchStateRequest } from "../generated/peer.js";
import type { PeerAddress } from "../membership/index.js";
import type { KeyedRecord, KeyedTopicReader, TopicPage } from "./keyedTopic.js";
import type { TopicFollower } from "./topicFollower.js";

/**
 * Timeout of a peer's answer in addition to the requested wait. An unreachable peer must not delay a read for longer.
 */
const responseTimeoutMilliseconds = 500;
/** Upper limit of the wait that a peer may request. */
const maxWaitMilliseconds = 10_000;

const stateSchema = z.array(z.tuple([z.string(), z.number(), z.string().optional()]));

/** Fetches state from a peer. */
export type PeerStateQuery = (
    peer: PeerAddress,
    request: FetchStateRequest,
    timeoutMilliseconds: number,
) => Promise<Result<FetchStateReply, Failure>>;

/** Options of a reader through a peer. */
export interface PeerTopicOptions {
    readonly topic: string;
    readonly peer: PeerAddress;
    readonly clock: Clock;
    readonly query: PeerStateQuery;
}

/** Creates a reader of a topic through a peer that follows it. */
export function createPeerReader(options: PeerTopicOptions): KeyedTopicReader {
    return {
        source: "peer",
        readAll: () => readFromPeer(options, { knownOffset: 0, waitMilliseconds: 0, whole: true }),
        readSince: (from, waitMilliseconds) =>
            readFromPeer(options, { knownOffset: from, waitMilliseconds, whole: false }),
    };
}

/**
 * Answers a peer's query for a topic.
 * @param follower - Follower of the topic on this node.
 * @param request - The query.
 * @param clock - The clock that measures the age of the state.
 */
export async function handleFetchState(
    follower: TopicFollower,
    request: FetchStateRequest,
    clock: Clock,
): Promise<FetchStateReply> {
    const receivedAt = clock.monotonic();
    if (!request.whole) {
        await follower.waitUntilLoaded(Math.min(request.waitMilliseconds, maxWaitMilliseconds));
    }
    if (!follower.state.isLoaded()) {
        throw new Error("The topic has not been read here yet.");
    }
    const page = request.whole
        ? follower.state.getCompletePage()
        : await follower.waitForChanges(request.knownOffset, Math.min(request.waitMilliseconds, maxWaitMilliseconds));
    // A peer that requests the whole topic has no state yet. It receives even an old state with its age, which is
    // better than none.
    if (follower.isDegraded() && !request.whole) {
        throw new Error("The topic can't be read here at the moment.");
    }
    const now = clock.monotonic();
    return {
        newer: page.records.length > 0,
        offset: page.endPosition,
        state: encodeRecords(page.records),
        counter: 0,
        // Rounded up, so that the state never appears younger than it is.
        ageMilliseconds: Math.ceil(now - page.confirmedAt),
        heldMilliseconds: Math.floor(now - receivedAt),
        complete: page.isComplete,
    };
}

async function readFromPeer(
    { topic, peer, clock, query }: PeerTopicOptions,
    requestFields: Pick<FetchStateRequest, "knownOffset" | "waitMilliseconds" | "whole">,
): Promise<Result<TopicPage, Failure>> {
    const sentAt = clock.monotonic();
    const reply = await query(
        peer,
        { ...requestFields, stream: topic, counter: 0 },
        requestFields.waitMilliseconds + responseTimeoutMilliseconds,
    );
    return reply.andThen(({ state, offset: endPosition, complete, heldMilliseconds, ageMilliseconds }) =>
        decodeRecords(state).map(records => ({
            records,
            isComplete: complete,
            endPosition,
            // The peer sent the answer no earlier than the time at which the query was sent plus the time for which the
            // peer held it. A delayed answer therefore never counts as fresh.
            confirmedAt: sentAt + heldMilliseconds - ageMilliseconds,
        }))
    );
}

/** Encoded lists of records. Many peers receive the same list, and each list is immutable. */
const encodedRecords = new WeakMap<readonly KeyedRecord[], Buffer>();

function encodeRecords(records: readonly KeyedRecord[]): Buffer {
    let encoded = encodedRecords.get(records);
    if (encoded === undefined) {
        encoded = encodeRows(records);
        encodedRecords.set(records, encoded);
    }
    return encoded;
}

function encodeRows(records: readonly KeyedRecord[]): Buffer {
    const rows = records.map((
        { key, position, value },
    ) => [key, position, ...(value === undefined ? [] : [value.toString("base64")])]);
    return Buffer.from(JSON.stringify(rows));
}

function decodeRecords(state: Buffer): Result<readonly KeyedRecord[], Failure> {
    try {
        const rows = stateSchema.parse(JSON.parse(state.toString()));
        return ok(rows.map(([key, position, value]) => ({
            key,
            position,
            value: value === undefined ? undefined : Buffer.from(value, "base64"),
        })));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "protocol",
                message: "The answer of a peer cannot be parsed.",
                remedy: "Read from the store, and finish replacing the nodes by the new release.",
                cause,
            }),
        );
    }
}
