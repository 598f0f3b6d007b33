import { expect } from "earl";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "../fixtures/routes.js";

describe("RouteTable", () => {
    describe("findRoute", () => {
        it("returns the route with the longest prefix for the host", () => {
            const table = createRouteTable({
                routes: [
                    createRoute({ name: "short", pathPrefix: "/plans/" }),
                    createRoute({ name: "long", pathPrefix: "/plans/urgent/" }),
                    createRoute({ name: "other", host: "other.example", pathPrefix: "/plans/urgent/today/" }),
                ],
            });
            expect(table.findRoute("app.example", "/plans/urgent/today/1")?.name).toEqual("long");
            expect(table.findRoute("APP.example:8080", "/plans/1")?.name).toEqual("short");
        });

        it("returns nothing for another host or a path that only resembles a prefix", () => {
            const table = createRouteTable({ routes: [createRoute({ pathPrefix: "/plans/" })] });
            expect(table.findRoute("else.example", "/plans/1")).toEqual(undefined);
            expect(table.findRoute("app.example", "/plansecret")).toEqual(undefined);
        });
    });

    describe("findWorkspace", () => {
        it("returns the workspace of each key and nothing for other keys", () => {
            const table = createRouteTable({ keys: { "key-1": "harbour", "key-2": "harbour" } });
            expect(table.findWorkspace("key-2")?.name).toEqual("harbour");
            expect(table.findWorkspace("key-3")).toEqual(undefined);
        });
    });
});
