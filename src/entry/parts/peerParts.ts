/**
 * Factories of the parts that communicate with the other entries: gossip, membership, claims and bills.
 */
import { BillReplicaStore, BillWriter, getBillCopyTargets, handleCopyBills } from "../../bills/index.js";
import {
    ClaimClient,
    Collector,
    CollectorPool,
    createRemoteDecider,
    getPartitionName,
    handleDecideClaims,
    SessionPins,
} from "../../claims/index.js";
import type {
    CopyBillsRequest,
    DecideClaimsRequest,
    FetchStateRequest,
    PushRequest,
    RelayRequest,
} from "../../generated/peer.js";
import { Gossip, Membership, PeerClient, PeerServer } from "../../membership/index.js";
import {
    CrashWatch,
    createSharedQuarantine,
    partPolicy,
    type Quarantine,
    requestPolicy,
    type SuspicionPolicy,
} from "../../quarantine/index.js";
import { createSharedRateLimits } from "../../ratelimits/index.js";
import type { Cradle, PartFactories } from "../cradle.js";
import { CredentialFiles, readCredentials } from "../credentialFiles.js";
import { EntryState } from "../entryState.js";
import { Sessions } from "../sessions.js";
import { SharedState } from "../sharedState.js";
import { StateFetcher } from "../stateFetcher.js";

/** Number of claim partitions. It is the same on all nodes and must never change. */
const claimPartitions = 8;
/** Maximum size of the values in one gossip exchange, in bytes. */
const maxGossipBytes = 64 * 1024;
/** Pause between two appends of bills for each entry of the site, which limits the load of all entries on the log. */
const billPauseMillisecondsPerEntry = 20;

/** Creates the parts that communicate with the other entries. */
export const peerParts: PartFactories = {
    peerClient: ({ settings }) => new PeerClient({ credentials: readCredentials(settings.tls) }),
    peerServer: cradle =>
        new PeerServer({
            address: cradle.settings.listen.peers.host,
            port: cradle.settings.listen.peers.port,
            journal: cradle.journal,
            credentials: readCredentials(cradle.settings.tls),
            handlers: createHandlers(cradle),
        }),
    credentialFiles: ({ settings, peerClient, peerServer, journal }) =>
        new CredentialFiles({
            settings: settings.tls,
            journal,
            onChange: credentials => {
                peerClient.setCredentials(credentials);
                peerServer.setCredentials(credentials);
            },
        }),
    gossip: ({ self, clock, random, journal, peerClient, settings }) =>
        new Gossip({
            self,
            clock,
            random,
            journal,
            transport: peerClient.createGossipTransport(),
            periodMilliseconds: settings.timing.gossipIntervalMilliseconds,
            maxValueBytesPerMessage: maxGossipBytes,
        }),
    membership: ({ self, gossip, clock, journal }) => new Membership({ self, gossip, clock, journal }),
    quarantine: parts => createQuarantine(parts, requestPolicy),
    partQuarantine: parts => createQuarantine(parts, partPolicy),
    rateLimits: ({ clock, journal, gossip }) => createSharedRateLimits({ clock, journal, gossip }),
    crashWatch: ({ clock, journal, quarantine, partQuarantine }) =>
        new CrashWatch({ clock, journal, quarantine, partQuarantine }),
    collectors: ({ self, clock, journal, membership, log, follow, settings }) =>
        new CollectorPool({
            partitions: claimPartitions,
            clock,
            isDesignated: partition => isCollector(membership, self.id, partition),
            createCollector: partition =>
                new Collector({
                    partition,
                    append: (stream, record) => log.append(stream, record),
                    follow,
                    clock,
                    journal,
                    writer: self.id,
                    batchMilliseconds: settings.timing.claimBatchMilliseconds,
                    snapshotIntervalMilliseconds: settings.timing.snapshotIntervalMilliseconds,
                    isDesignated: () => isCollector(membership, self.id, partition),
                }),
        }),
    claims: ({ clock, journal, self, membership, peerClient, collectors }) =>
        new ClaimClient({
            partitions: claimPartitions,
            clock,
            journal,
            decideRemotely: createRemoteDecider({
                self: self.id,
                membership,
                client: peerClient,
                getCounter: () => journal.getCounter(),
            }),
            decideLocally: (partition, operations) => collectors.decide(partition, operations),
        }),
    sessions: ({ claims, clock, settings }) =>
        new Sessions({
            pins: new SessionPins(claims),
            clock,
            signingKey: settings.session.signingKey,
            previousSigningKey: settings.session.previousSigningKey,
        }),
    bills: ({ log, clock, journal, self, membership, peerClient, settings }) =>
        new BillWriter({
            append: (stream, record) => log.append(stream, record),
            getCopyTargets: createCopyTargets({ self, membership, peerClient, journal }),
            clock,
            journal,
            writer: self.id,
            maxBills: settings.limits.keptBills,
            getIntervalMilliseconds: () =>
                Math.max(
                    settings.timing.billFlushMilliseconds,
                    billPauseMillisecondsPerEntry * membership.getMembers().length,
                ),
        }),
    billReplicas: ({ log, clock, journal, self, membership, peerClient, settings }) =>
        new BillReplicaStore({
            append: (stream, record) => log.append(stream, record),
            getCopyTargets: createCopyTargets({ self, membership, peerClient, journal }),
            clock,
            journal,
            writer: self.id,
            maxBills: settings.limits.keptBills,
            hasDeparted: origin => isDeparted(membership, origin),
            getIncarnation: origin => membership.getIncarnation(origin),
        }),
    sharedState: ({ gossip, evidence, exposures, rollouts, runners, configuration, membership }) =>
        new SharedState({
            gossip,
            evidence,
            exposures,
            rollouts,
            runners,
            getIncarnation: origin => membership.getIncarnation(origin),
            getConfigurationAge: () => configuration.getAge(),
        }),
    stateFetcher: ({ clock, configuration, control, membership, peerClient, self, journal, random, settings }) =>
        new StateFetcher({
            clock,
            configuration,
            control,
            membership,
            client: peerClient,
            self: self.id,
            getCounter: () => journal.getCounter(),
            nextInteger: bound => random.nextInteger(bound),
            logWaitMilliseconds: settings.timing.logWaitMilliseconds,
        }),
    entryState: ({ configuration, membership, self, sharedState, loadPoller }) =>
        new EntryState({
            configuration,
            membership,
            self: self.id,
            isPeerFresh: origin => sharedState.isPeerFresh(origin),
            hasPolledUpstreams: () => loadPoller.hasPolledAll(),
        }),
};

/** Creates the function that returns the peers that store copies of this entry's bills. */
function createCopyTargets(
    { self, membership, peerClient, journal }: Pick<Cradle, "self" | "membership" | "peerClient" | "journal">,
) {
    const getCounter = () => journal.getCounter();
    return () => getBillCopyTargets({ self, membership, client: peerClient, getCounter });
}

function createHandlers({ gossip, journal, billReplicas, collectors, stateFetcher, relayServer }: Cradle) {
    const getCounter = () => journal.getCounter();
    /**
     * Observes the caller's counter, so that the events that this entry records for the call sort after their cause.
     */
    const withObservedCounter =
        <Request extends { readonly counter: number; }, Reply>(handle: (request: Request, protocol: number) => Reply) =>
        (request: Request, protocol: number) => {
            journal.observe(request.counter);
            return handle(request, protocol);
        };
    return {
        exchange: gossip.handleExchange.bind(gossip),
        push: (request: PushRequest) => ({ counter: gossip.handlePush(request) }),
        copyBills: withObservedCounter((request: CopyBillsRequest) =>
            handleCopyBills(billReplicas, request, getCounter)
        ),
        decideClaims: withObservedCounter((request: DecideClaimsRequest) =>
            handleDecideClaims(collectors, request, getCounter)
        ),
        fetchState: withObservedCounter((request: FetchStateRequest, protocol) =>
            stateFetcher.handle(request, protocol)
        ),
        relay: (request: RelayRequest, signal: AbortSignal) => relayServer.handle(request, signal),
    };
}

function createQuarantine(
    { self, clock, journal, gossip, membership }: Cradle,
    policy: SuspicionPolicy,
): Quarantine {
    return createSharedQuarantine({
        self: self.id,
        clock,
        journal,
        policy,
        gossip,
        getMembers: () => membership.getMembers().map(({ id }) => id),
        // The entries hold the records for each other; they are not in the log.
        store: () => Promise.resolve(true),
    });
}

function isCollector(membership: Membership, self: string, partition: number): boolean {
    return membership.getCollector(getPartitionName(partition))?.id === self;
}

function isDeparted(membership: Membership, origin: string): boolean {
    const member = membership.get(origin);
    return member === undefined || member.state === "dead";
}
