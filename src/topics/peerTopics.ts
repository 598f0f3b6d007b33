/**
 * Reading topics through peers: few nodes read the store, the others hear from them.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Clock, Failure } from "../common/index.js";
import type { FetchStateReply, FetchStateRequest } from "../generated/peer.js";
import type { PeerAddress } from "../membership/index.js";
import type { KeyedRecord, KeyedTopicReader, TopicPage } from "./keyedTopic.js";
import type { TopicFollower } from "./topicFollower.js";

/** How long a peer may take beyond the wait that it was asked for; a peer that is away must not be waited for longer. */
const responseTimeoutMilliseconds = 500;
/** A peer waits no longer than this, whatever it is asked. */
const maxWaitMilliseconds = 10_000;

const stateSchema = z.array(z.tuple([z.string(), z.number(), z.string().optional()]));

/** Asks a peer for state. */
export type PeerStateQuery = (
    peer: PeerAddress,
    request: FetchStateRequest,
    timeoutMilliseconds: number,
) => Promise<Result<FetchStateReply, Failure>>;

/** What a reader through a peer is made with. */
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
 * Answers a peer's question for a topic.
 * @param follower - Follows the topic here.
 * @param request - The question.
 * @param clock - Tells ages.
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
    // Whoever asks for everything knows nothing: an old state, with its age, beats none.
    if (follower.isDegraded() && !request.whole) {
        throw new Error("The topic can't be read here at the moment.");
    }
    const now = clock.monotonic();
    return {
        newer: page.records.length > 0,
        offset: page.endOffset,
        state: encodeRecords(page.records),
        counter: 0,
        // Rounded up: a belief must never seem younger than it is.
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
    return reply.andThen(({ state, offset, complete, heldMilliseconds, ageMilliseconds }) =>
        decodeRecords(state).map(records => ({
            records,
            isComplete: complete,
            endOffset: offset,
            // The answer left the peer no sooner than the question was sent plus the time it was held. An answer that was
            // long on its way is therefore never taken for a fresh one.
            confirmedAt: sentAt + heldMilliseconds - ageMilliseconds,
        }))
    );
}

function encodeRecords(records: readonly KeyedRecord[]): Buffer {
    const rows = records.map((
        { key, offset, value },
    ) => [key, offset, ...(value === undefined ? [] : [value.toString("base64")])]);
    return Buffer.from(JSON.stringify(rows));
}

function decodeRecords(state: Buffer): Result<readonly KeyedRecord[], Failure> {
    try {
        const rows = stateSchema.parse(JSON.parse(state.toString()));
        return ok(rows.map(([key, offset, value]) => ({
            key,
            offset,
            value: value === undefined ? undefined : Buffer.from(value, "base64"),
        })));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "protocol",
                message: "A peer's answer cannot be read.",
                remedy: "Read from the store, and finish the replacement of the nodes by the new release.",
                cause,
            }),
        );
    }
}
