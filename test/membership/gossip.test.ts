import { expect } from "earl";
import { describe, it } from "node:test";
import { createGossipSite, type GossipSite } from "../fixtures/gossipSite.js";

const size = 8;
const periodsToPropagate = 12;

function readAll(site: GossipSite, origin: string, key: string): (string | undefined)[] {
    const others = site.nodes.filter(node => !node.isDown);
    return others.map(node => node.gossip.get(origin, key)?.toString());
}

function isKnownToAll(site: GossipSite, origin: string, key: string, value: string): boolean {
    return readAll(site, origin, key).every(known => known === value);
}

describe("Gossip", () => {
    describe("set", () => {
        it("distributes a value and its update to all nodes", async () => {
            const site = createGossipSite(size);
            for (const value of ["first", "second"]) {
                site.nodes[0].gossip.set("load", Buffer.from(value));
                await site.run(periodsToPropagate);
                expect(isKnownToAll(site, "entry-0", "load", value)).toEqual(true);
            }
        });

        it("pushes an urgent value to nearly all nodes without waiting for an exchange", async () => {
            const site = createGossipSite(40);
            site.nodes[0].gossip.set("halt", Buffer.from("plan@3"), { urgent: true });
            await site.deliverMessages();
            const known = readAll(site, "entry-0", "halt").filter(value => value === "plan@3").length;
            expect(known >= 36).toEqual(true);
        });

        // Guards against deciding nodes that learn of a value as late as everybody else where exchanges carry few bytes for each node.
        it("sends a value to its recipients without waiting for an exchange, and to nobody else", async () => {
            const site = createGossipSite(40);
            site.nodes[0].gossip.set("report", Buffer.from("r"), {
                recipients: ["entry-0", "entry-3", "entry-7", "none"],
            });
            await site.deliverMessages();
            const informed = site.nodes.filter(({ gossip }) => gossip.get("entry-0", "report") !== undefined);
            expect(informed.map(({ vm }) => vm.id)).toEqual(["entry-0", "entry-3", "entry-7"]);
        });

        it("does not replace a value by an older one that arrives late", async () => {
            const site = createGossipSite(2);
            const [first, second] = site.nodes;
            first.gossip.set("load", Buffer.from("old"));
            const late = { origin: "entry-0", key: "load", version: 1, value: Buffer.from("old"), removed: false };
            first.gossip.set("load", Buffer.from("new"));
            await site.run(4);
            second.gossip.handlePush({ sender: "entry-0", items: [late], counter: 0, hops: 0, bases: [] });
            expect(second.gossip.get("entry-0", "load")?.toString()).toEqual("new");
        });

        it("calls listeners once for each newer value", async () => {
            const site = createGossipSite(4);
            const received: (string | undefined)[] = [];
            site.nodes[3].gossip.onUpdate((...[, key, value]) => {
                if (key === "load") {
                    received.push(value?.toString());
                }
            });
            site.nodes[0].gossip.set("load", Buffer.from("a"));
            await site.run(periodsToPropagate);
            site.nodes[0].gossip.remove("load");
            await site.run(periodsToPropagate);
            expect(received).toEqual(["a", undefined]);
        });
    });

    describe("remove", () => {
        it("removes a key from all nodes", async () => {
            const site = createGossipSite(size);
            site.nodes[0].gossip.set("load", Buffer.from("a"));
            await site.run(periodsToPropagate);
            site.nodes[0].gossip.remove("load");
            await site.run(periodsToPropagate);
            expect(readAll(site, "entry-0", "load")).toEqual(Array.from({ length: size }, () => undefined));
        });
    });

    // Guards against slow starts of a large site: if each node called every other one, it would open thousands of
    // connections while callers wait. Updates must still reach all nodes through a few partners.
    it("uses a few partners at a large site and still reaches all nodes", async () => {
        const site = createGossipSite(60);
        site.nodes[0].gossip.set("color", Buffer.from("red"));
        await site.run(12);
        expect(site.nodes.filter(node => node.gossip.get("entry-0", "color") === undefined).length).toEqual(0);
        expect(Math.max(...site.countPeers().values()) <= 4 + 60 * 0.15).toEqual(true);
    });

    // Guards against updates that some nodes never receive after a power failure. Half of a large fleet fails at once
    // and is not suspected yet. Each node still chooses among the same few partners, most of which are down for some
    // nodes.
    it("reaches all remaining nodes while half of the partners are down", async () => {
        for (const seed of [1, 2, 3]) {
            const site = createGossipSite(120, { seed, periodMilliseconds: 714 });
            await site.run(14);
            const survivors = site.nodes.filter((...[, index]) => index % 2 === 0);
            for (const node of site.nodes) {
                node.isDown = !survivors.includes(node);
            }
            survivors[0].gossip.set("color", Buffer.from("red"));
            await site.run(20);
            expect(survivors.filter(node => node.gossip.get("entry-0", "color") === undefined).length).toEqual(0);
        }
    });

    describe("exchangeOnce", () => {
        it("brings both sides up to date with one exchange", async () => {
            const site = createGossipSite(2);
            site.nodes[0].gossip.set("mine", Buffer.from("a"));
            site.nodes[1].gossip.set("yours", Buffer.from("b"));
            await site.nodes[0].gossip.exchangeOnce();
            await site.deliverMessages();
            expect(site.nodes[0].gossip.get("entry-1", "yours")?.toString()).toEqual("b");
            expect(site.nodes[1].gossip.get("entry-0", "mine")?.toString()).toEqual("a");
        });

        // Guards against lost values when they do not fit into one message: the rest must follow in later exchanges
        // without a gap.
        it("sends all values over several messages within the limit of bytes", async () => {
            const site = createGossipSite(4, { maxValueBytesPerMessage: 300 });
            for (let index = 0; index < 40; index += 1) {
                site.nodes[0].gossip.set(`key-${index}`, Buffer.alloc(50, index));
            }
            const emptyMessage = { digest: [], origins: [], heartbeats: [], versions: [], items: [], counter: 0 };
            const reply = site.nodes[0].gossip.handleExchange({
                ...emptyMessage,
                sender: "entry-1",
                oldestProtocol: 1,
                newestProtocol: 1,
            });
            const bytes = reply.items.map(item => item.value.length);
            expect(bytes.length > 0 && bytes.length * 50 <= 300).toEqual(true);
            await site.run(80);
            for (const node of site.nodes) {
                for (let index = 0; index < 40; index += 1) {
                    expect(node.gossip.get("entry-0", `key-${index}`)).toEqual(Buffer.alloc(50, index));
                }
            }
        });

        // Guards against a lost value: an urgent value is pushed before older ones were exchanged, and the receiver
        // must not assume that it has those too.
        it("does not assume that a node with an urgent value has the earlier ones", async () => {
            const site = createGossipSite(3);
            const { gossip } = site.nodes[0];
            gossip.set("earlier", Buffer.from("e"));
            gossip.set("halt", Buffer.from("h"), { urgent: true });
            await site.deliverMessages();
            expect(site.nodes[1].gossip.get("entry-0", "halt")?.toString()).toEqual("h");
            await site.run(periodsToPropagate);
            expect(isKnownToAll(site, "entry-0", "earlier", "e")).toEqual(true);
        });

        // Guards against a restarted node whose updates are ignored. Its process restarts without state after its wall
        // clock was set back, so peers hold higher versions than its first ones. They would discard its new values, or
        // keep keys that it no longer has.
        it("accepts updates of a restarted node whose clock was set back", async () => {
            const site = createGossipSite(5);
            site.nodes[0].gossip.set("load", Buffer.from("before"));
            site.nodes[0].gossip.set("stale", Buffer.from("before"));
            await site.run(periodsToPropagate);
            site.nodes[0].isDown = true;
            await site.run(3);
            const month = 30 * 86_400_000;
            const { address } = site.nodes[0].vm;
            const restarted = site.add("entry-0", { address, clockOffsetMilliseconds: -month });
            restarted.gossip.set("load", Buffer.from("after"));
            site.distributeVmList(site.nodes.slice(1).map(node => node.vm));
            await site.run(periodsToPropagate * 2);
            const others = site.nodes.slice(1, 5);
            expect(others.map(node => node.gossip.get("entry-0", "load")?.toString())).toEqual(
                others.map(() => "after"),
            );
            expect(others.map(node => node.gossip.get("entry-0", "stale"))).toEqual(others.map(() => undefined));
        });
    });

    describe("handleExchange", () => {
        it("ignores values of an origin that is not in the VM list", async () => {
            const site = createGossipSite(3);
            const stranger = site.add("stranger");
            stranger.membership.setVms(site.nodes.map(node => node.vm));
            await site.run(periodsToPropagate);
            expect(site.nodes[0].gossip.get("stranger", "node")).toEqual(undefined);
            site.distributeVmList();
            await site.run(periodsToPropagate);
            expect(site.nodes[0].gossip.get("stranger", "node") === undefined).toEqual(false);
        });
    });
});
