/**
 * Decodes the operator's configuration and roll-out orders.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Failure } from "../common/index.js";
import type { PinReport, RolloutOrder, RolloutProgress, RolloutState } from "../rollouts/index.js";
import { type KeyedWorkspace, type Pool, type Route, type RouteKind, RouteTable } from "../routing/index.js";

const routeKinds: Readonly<Record<string, RouteKind>> = {
    idempotent: "idempotent",
    non_idempotent: "at-most-once",
    // A keyed request runs once for each key. This node does not interpret keys, so it applies the strictest kind.
    keyed: "at-most-once",
    streaming: "stream",
};

const routeSchema = z.object({
    name: z.string(),
    host: z.string(),
    path_prefix: z.string(),
    route_kind: z.string(),
    timeout_ms: z.number(),
    /** Target latency. An answer that takes longer is late but still valid. */
    goal_ms: z.number(),
    gap_goal_ms: z.number().optional(),
    priority: z.number().default(0),
    service: z.string().optional(),
    split: z.array(z.object({ service: z.string(), weight: z.number() })).optional(),
    max_attempts: z.number().default(1),
    public: z.boolean().default(false),
    resumable: z.boolean().default(false),
    sizes: z.array(z.string()).default([]),
});
const serviceSchema = z.object({
    name: z.string(),
    max_conns: z.number().default(64),
    health_path: z.string().optional(),
    cold_start_s: z.number().nonnegative().default(0),
    cold_per_s: z.number().nonnegative().default(0),
    engine: z.object({ models: z.array(z.object({ name: z.string(), cost: z.number().default(0) })).default([]) })
        .optional(),
});
const tenantSchema = z.object({
    name: z.string(),
    api_keys: z.array(z.string()).default([]),
    priority: z.number().optional(),
});
const configurationSchema = z.object({
    version: z.number(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    limits: z.object({
        max_header_bytes: z.number(),
        max_body_bytes: z.number(),
        header_timeout_ms: z.number(),
        idle_timeout_ms: z.number(),
    }),
    tenants: z.array(tenantSchema).optional(),
});
const orderSchema = z.object({ service: z.string(), target: z.string(), deadline_s: z.number() });

/**
 * Decodes a configuration.
 * @param value - The record's value.
 */
export function decodeConfiguration(value: Buffer): Result<RouteTable, Failure> {
    return parseRecord(value, configurationSchema).map(content =>
        new RouteTable({
            version: content.version,
            routes: content.routes.map(toRoute),
            pools: content.services.map(toPool),
            workspaces: content.tenants === undefined ? undefined : toWorkspaces(content.tenants),
            limits: {
                headerBytes: content.limits.max_header_bytes,
                bodyBytes: content.limits.max_body_bytes,
                headerMilliseconds: content.limits.header_timeout_ms,
                idleMilliseconds: content.limits.idle_timeout_ms,
            },
        })
    );
}

/**
 * Decodes a roll-out order.
 * @param value - The record's value.
 * @param position - The record's position, which identifies the order.
 */
export function decodeRolloutOrder(value: Buffer, position: number): Result<RolloutOrder, Failure> {
    return parseRecord(value, orderSchema).map(order => ({
        id: position,
        pool: order.service,
        version: order.target,
        durationMilliseconds: order.deadline_s * 1_000,
    }));
}

/** Maps the state of a roll-out to the operator's name for it. */
const rolloutStates: Readonly<Record<RolloutState, string>> = {
    moving: "in_progress",
    completed: "completed",
    reverted: "reverted",
};

/** Encodes the state of a roll-out for the operator. */
export function encodeRolloutStatus(order: RolloutOrder, progress: RolloutProgress): Buffer {
    const state = rolloutStates[progress.state];
    return Buffer.from(JSON.stringify({ service: order.pool, target: order.version, state }));
}

const progressSchema = z.object({
    order: z.number(),
    version: z.string(),
    state: z.enum(["moving", "completed", "reverted"]),
    /** 0 for nodes of an earlier release, which did not count steps. */
    step: z.number().default(0),
    share: z.number(),
    /** 0 for nodes of an earlier release, which did not announce the share of the first step. */
    firstShare: z.number().default(0),
    orderedAt: z.number(),
});

/** Decodes a node's record of the progress of a roll-out. */
export function decodeProgress(value: Buffer): Result<RolloutProgress, Failure> {
    return parseRecord(value, progressSchema);
}

const pinReportSchema = z.object({ order: z.number(), ranks: z.array(z.number()) });

/** Decodes a node's record of the sessions that it has pinned. */
export function decodePinReport(value: Buffer): Result<PinReport, Failure> {
    return parseRecord(value, pinReportSchema);
}

function toRoute(route: z.infer<typeof routeSchema>): Route {
    const pools = route.split?.map(share => ({ pool: share.service, weight: share.weight }))
        ?? [{ pool: route.service ?? "", weight: 1 }];
    return {
        name: route.name,
        host: route.host,
        pathPrefix: route.path_prefix,
        kind: routeKinds[route.route_kind] ?? "at-most-once",
        timeoutMilliseconds: route.timeout_ms,
        objectiveMilliseconds: route.goal_ms,
        pauseObjectiveMilliseconds: route.gap_goal_ms,
        priority: route.priority,
        pools,
        maxAttempts: Math.max(1, route.max_attempts),
        isPublic: route.public,
        isResumable: route.resumable,
        models: route.sizes,
    };
}

function toPool(service: z.infer<typeof serviceSchema>): Pool {
    return {
        name: service.name,
        maxConnections: service.max_conns,
        healthPath: service.health_path,
        warmUpMilliseconds: service.cold_start_s * 1_000,
        warmUpRequestsPerSecond: service.cold_per_s,
        models: service.engine?.models.map(model => ({ name: model.name, price: model.cost })) ?? [],
    };
}

function toWorkspaces(tenants: readonly z.infer<typeof tenantSchema>[]): ReadonlyMap<string, KeyedWorkspace> {
    const workspaces = new Map<string, KeyedWorkspace>();
    for (const { name, api_keys: keys, priority } of tenants) {
        for (const key of keys) {
            workspaces.set(key, { name, priority });
        }
    }
    return workspaces;
}

function parseRecord<T>(value: Buffer, schema: z.ZodType<T>): Result<T, Failure> {
    try {
        return ok(schema.parse(JSON.parse(value.toString())));
    }
    catch (cause) {
        return err(
            new Failure({
                kind: "protocol",
                message: "The operator's record is malformed.",
                remedy: "Publish it again in the documented format.",
                cause,
            }),
        );
    }
}
