import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { decodeConfiguration, decodeRolloutOrder } from "../../src/platform/decodeConfiguration.js";
import { decodeUpstream } from "../../src/platform/decodeUpstream.js";
import { pickRequestHeaders } from "../../src/platform/headers.js";
import { parseNodeSettings } from "../../src/platform/nodeSettings.js";
import { decodePage, encodeRecord } from "../../src/platform/storeClient.js";

function encode(value: unknown): Buffer {
    return Buffer.from(JSON.stringify(value));
}

const record = {
    service: "pool",
    address: "10.0.0.9:8080",
    zone: "north",
    version: "v1",
    slots: 48,
    state: "ready",
    cold_left_ms: 0,
    seq_no: 4,
    born: 1_700_000_000_000,
    models: [{ name: "m", version: 1, adapters: [] }],
};

describe("decodeUpstream", () => {
    it("decodes a record", () => {
        const upstream = decodeUpstream("i-1", encode(record));
        expect([upstream?.pool, upstream?.failureDomain, upstream?.isLeaving, upstream?.startedAt]).toEqual([
            "pool",
            "north",
            false,
            1_700_000_000_000,
        ]);
    });

    // Another program writes a malformed record under an upstream's key: a field of another type, an unknown state, or arbitrary
    // bytes. The record must yield no upstream and must not crash the process that reads it.
    it("returns no upstream for a malformed record", () => {
        const malformedValues = [
            encode({ ...record, slots: "48" }),
            encode({ ...record, state: "resting" }),
            encode({ ...record, address: undefined }),
            encode({ ...record, address: "elsewhere" }),
            encode([]),
            Buffer.from([0xff, 0x00, 0x7b]),
            Buffer.alloc(0),
        ];
        expect(malformedValues.map(value => decodeUpstream("i-1", value))).toEqual(
            malformedValues.map(() => undefined),
        );
    });
});

describe("decodeConfiguration", () => {
    const configuration = {
        version: 7,
        routes: [{
            name: "r",
            host: "app.example",
            path_prefix: "/a/",
            route_kind: "streaming",
            timeout_ms: 20_000,
            goal_ms: 1_000,
            priority: 0,
            sizes: ["s", "l"],
            split: [{ service: "x", weight: 90 }, { service: "y", weight: 10 }],
            max_attempts: 3,
            public: false,
            resumable: true,
            gap_goal_ms: 600,
        }],
        services: [{ name: "x", max_conns: 300 }],
        limits: { max_header_bytes: 1, max_body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4 },
        tenants: [{ name: "t", api_keys: ["k"], priority: 1 }],
    };

    it("decodes routes, pools, limits and API keys", () => {
        const table = decodeConfiguration(encode(configuration))._unsafeUnwrap();
        const route = table.findRoute("app.example", "/a/b")!;
        expect([route.kind, route.isResumable, route.pauseObjectiveMilliseconds]).toEqual(["stream", true, 600]);
        expect(route.pools).toEqual([{ pool: "x", weight: 90 }, { pool: "y", weight: 10 }]);
        expect([table.version, table.needsKeys(), table.findWorkspace("k")]).toEqual([7, true, {
            name: "t",
            priority: 1,
        }]);
    });

    it("decodes how long upstreams warm up, and at which rate", () => {
        const services = [{ name: "x", cold_start_s: 3, cold_per_s: 11 }, { name: "y" }];
        const table = decodeConfiguration(encode({ ...configuration, services }))._unsafeUnwrap();
        const pools = ["x", "y"].map(name => table.getPool(name)!);
        expect(pools.map(pool => [pool.warmUpMilliseconds, pool.warmUpRequestsPerSecond])).toEqual([[3_000, 11], [
            0,
            0,
        ]]);
        const upstream = decodeUpstream("i-1", encode({ ...record, cold_left_ms: 1_500 }));
        expect(upstream?.warmUpMilliseconds).toEqual(1_500);
    });

    it("fails on malformed records and treats an unknown route kind as the strictest", () => {
        expect(decodeConfiguration(Buffer.from("{")).isErr()).toEqual(true);
        const configurationOfUnknownKind = {
            ...configuration,
            routes: [{ ...configuration.routes[0], route_kind: "new" }],
        };
        const table = decodeConfiguration(encode(configurationOfUnknownKind))._unsafeUnwrap();
        expect(table.findRoute("app.example", "/a/")?.kind).toEqual("at-most-once");
    });

    it("decodes a roll-out order", () => {
        const order = decodeRolloutOrder(encode({ service: "x", target: "v2", deadline_s: 12 }), 9)._unsafeUnwrap();
        expect(order).toEqual({ id: 9, pool: "x", version: "v2", durationMilliseconds: 12_000 });
    });
});

describe("decodePage", () => {
    it("decodes records and removals with their positions", () => {
        const header = Buffer.alloc(16);
        const body = Buffer.concat([
            header,
            encodeRecord({ key: "a", value: Buffer.from("1") }),
            encodeRecord({ key: "b", value: Buffer.alloc(0) }),
        ]);
        const page = decodePage(body, 40, 5)._unsafeUnwrap();
        expect(page.records).toEqual([
            { key: "a", value: Buffer.from("1"), position: 40 },
            { key: "b", value: undefined, position: 41 },
        ]);
        expect([page.endPosition, page.confirmedAt]).toEqual([42, 5]);
    });

    it("fails on a truncated answer", () => {
        const record = encodeRecord({ key: "a", value: Buffer.from("1234") });
        expect(decodePage(Buffer.concat([Buffer.alloc(16), record.subarray(0, 7)]), 0, 0).isErr()).toEqual(true);
        expect(decodePage(Buffer.alloc(3), 0, 0).isErr()).toEqual(true);
    });
});

describe("pickRequestHeaders", () => {
    // A caller sends headers that only the router may set. If they were forwarded, it could act for another workspace, reserve a
    // runner's memory, or read the memory of another caller's request.
    it("forwards the caller's headers except those that only the router may set", () => {
        const raw = [
            "Host",
            "app.example",
            "Attempt-Id",
            "1",
            "Tenant",
            "other",
            "Api-Key",
            "k",
            "Hold",
            "h",
            "Kv-From",
            "a",
            "Pin-Ms",
            "9",
            "Connection",
            "keep-alive, X-Once",
            "X-Once",
            "1",
            "Transfer-Encoding",
            "chunked",
            "Token-Count",
            "1,2",
        ];
        expect(pickRequestHeaders(raw)).toEqual(["Host", "app.example", "Attempt-Id", "1", "Token-Count", "1,2"]);
    });
});

describe("parseNodeSettings", () => {
    const template = readFileSync("deploy/settings.ini", "utf8");
    const filled = template
        .replace("{{seeds}}", "10.0.0.1:9,10.0.0.2:9")
        .replace("{{platform.address}}", "10.0.0.7:80")
        .replaceAll(/\{\{listen\.[a-z]+\}\}/g, "10.0.0.1:80")
        .replaceAll(/\{\{ip\}\}:\{\{port_range\.0\}\}/g, "10.0.0.1:81")
        .replaceAll(/\{\{bounds\.[a-z_]+\}\}/g, "5")
        .replaceAll(/\{\{limits\.[a-z_]+\}\}/g, "350")
        .replaceAll(/\{\{[a-z._]+\}\}/g, "name");

    it("parses the settings template of the deployment", () => {
        const settings = parseNodeSettings(filled, "local.ini")._unsafeUnwrap();
        expect(settings.seeds).toEqual([{ host: "10.0.0.1", port: 9 }, { host: "10.0.0.2", port: 9 }]);
        expect(settings.bounds.retryWindowMilliseconds).toEqual(5_000);
    });

    it("accepts an empty bound on evacuations, where no failure domain can be evacuated", () => {
        const getBound = (text: string): number | undefined =>
            parseNodeSettings(filled.replace(/evacuate_ms = 5/, `evacuate_ms = ${text}`), "local.ini")
                ._unsafeUnwrap().bounds.evacuationMilliseconds;
        expect([getBound(""), getBound("5000")]).toEqual([undefined, 5_000]);
        expect(parseNodeSettings(filled.replace(/evacuate_ms = 5/, "evacuate_ms = soon"), "local.ini").isErr())
            .toEqual(true);
    });

    it("accepts settings without a memory limit, and none of 0", () => {
        const parse = (text: string) => parseNodeSettings(filled.replace(/memory_mb = 350/, text), "local.ini");
        expect(["memory_mb = 350", "memory_mb =", ""].map(text => parse(text)._unsafeUnwrap().memoryMegabytes)).toEqual(
            [
                350,
                undefined,
                undefined,
            ],
        );
        const withoutSection = filled.replace(/\[limits\]\nmemory_mb = 350\n/, "");
        expect(parseNodeSettings(withoutSection, "local.ini")._unsafeUnwrap().memoryMegabytes).toEqual(undefined);
        const unfilled = "memory_mb = {{limits.memory_mb}}";
        expect(parse(unfilled)._unsafeUnwrap().memoryMegabytes).toEqual(undefined);
        expect(["memory_mb = {{limits.memory_mb}}5", "memory_mb = {{}"].map(text => parse(text).isErr())).toEqual([
            true,
            true,
        ]);
        expect(["memory_mb = 0", "memory_mb = much"].map(text => parse(text).isErr())).toEqual([true, true]);
    });

    it("reports the line and key of an invalid value", () => {
        const invalid = filled.replace(/revoke_ms = 5/, "revoke_ms = soon");
        const [validationError] = parseNodeSettings(invalid, "local.ini")._unsafeUnwrapErr();
        expect([validationError.section, validationError.key, validationError.line > 0]).toEqual([
            "bounds",
            "revoke_ms",
            true,
        ]);
    });
});
