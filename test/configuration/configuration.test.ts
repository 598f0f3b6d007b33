import { expect } from "earl";
import { describe, it } from "node:test";
import { Configuration, parseConfigurationFile, type ScopeKey } from "../../src/configuration/index.js";
import { formatValidationError } from "../../src/settings/index.js";

const hash = "a".repeat(64);
const otherHash = "b".repeat(64);
const file = `
[root]
allowed = plan, tag@1, tag@2
target_quality = 0.7
[version.plan@1]
status = serving
input_price = 2
output_price = 8
[version.plan@2]
status = withdrawn
[version.tag@1]
status = draining
input_price = 0.1
output_price = 0.4
[version.tag@2]
input_price = 0.2
output_price = 0.5
[version.other@1]
status = serving
input_price = 0.2
output_price = 0.5
[rollout]
stages = 10, 100
[rollout.tag]
exposure_budget = 5
[workspace.bench]
keys = ${hash}, ${otherHash}
services = sportello-app, depot-app
priority = 2
[workspace.bench.application.desk]
allowed = tag
services = sportello-app
target_quality = 0.9
max_configuration_age_s = 20
[workspace.bench.application.desk.session.chat]
priority = 0
allowed = *
services = depot-app, sportello-app
max_output_price = 0.45
`;

function createConfiguration(content = file): Configuration {
    return new Configuration(parseConfigurationFile(content, "tree.ini")._unsafeUnwrap(), 7);
}

function getEffective(workspace: string, application?: string, session?: string) {
    return createConfiguration().getEffective({ workspace, application, session })._unsafeUnwrap();
}

function getAllowed(workspace: string, application?: string, session?: string): readonly string[] {
    return getEffective(workspace, application, session).allowedVersions.map(version => version.id);
}

describe("Configuration", () => {
    describe("getEffective", () => {
        it("narrows the allowed versions and services from parent to child, even if the child lists more", () => {
            expect(getAllowed("bench")).toEqual(["plan@1", "tag@1", "tag@2"]);
            expect(getAllowed("bench", "desk")).toEqual(["tag@1", "tag@2"]);
            expect(getAllowed("bench", "desk", "chat")).toEqual(["tag@1"]);
            expect(getEffective("bench", "desk", "chat").services).toEqual(["sportello-app"]);
            expect(getEffective("bench", "desk", "chat").isAllowed("plan@1")).toEqual(false);
        });

        it("inherits values that a child does not override, and returns their origin", () => {
            const effective = getEffective("bench", "desk", "chat");
            expect(effective.priority).toEqual(0);
            expect(effective.targetQuality).toEqual(0.9);
            expect(effective.maxConfigurationAgeMilliseconds).toEqual(20_000);
            const origins = (["priority", "target_quality", "confidence", "allowed"] as ScopeKey[])
                .map(key => effective.getOrigin(key));
            expect(origins).toEqual([
                "workspace.bench.application.desk.session.chat",
                "workspace.bench.application.desk",
                "default",
                "workspace.bench.application.desk.session.chat",
            ]);
        });

        it("returns the parent's settings for names without a section", () => {
            const configuration = createConfiguration();
            const parent = configuration.getEffective({ workspace: "bench" })._unsafeUnwrap();
            const child = configuration.getEffective({ workspace: "bench", application: "made-up", session: "x" });
            expect(child._unsafeUnwrap() === parent).toEqual(true);
            const chat = { workspace: "bench", application: "desk", session: "made-up" };
            expect(configuration.getEffective(chat)._unsafeUnwrap().targetQuality).toEqual(0.9);
        });

        it("refuses an unknown workspace", () => {
            const result = createConfiguration().getEffective({ workspace: "made-up" });
            expect(result._unsafeUnwrapErr().kind).toEqual("not-allowed");
        });
    });

    describe("getWorkspaceByKey", () => {
        it("finds the workspace by each of its keys", () => {
            const configuration = createConfiguration();
            expect(configuration.getWorkspaceByKey(hash)?.name).toEqual("bench");
            expect(configuration.getWorkspaceByKey(otherHash)?.name).toEqual("bench");
            expect(configuration.getWorkspaceByKey("c".repeat(64))).toEqual(undefined);
            expect(configuration.getWorkspace("bench")?.applications)
                .toEqual([{ name: "desk", sessionClasses: ["chat"] }]);
        });
    });

    describe("getRollout", () => {
        it("uses the model's own settings first, then the shared ones, then the defaults", () => {
            const rollout = createConfiguration().getRollout("tag");
            expect(rollout.exposureBudget).toEqual(5);
            expect(rollout.stages).toEqual([10, 100]);
            expect(rollout.falseHaltRate).toEqual(0.01);
            expect(createConfiguration().getRollout("plan").exposureBudget).toEqual(200);
        });
    });

    describe("getVersionOrThrow", () => {
        it("throws for an unknown version", () => {
            expect(() => createConfiguration().getVersionOrThrow("plan@9")).toThrow("There is no version plan@9");
        });
    });
});

describe("parseConfigurationFile", () => {
    it("reports errors between sections with their lines", () => {
        const content = `${file}
[version.plan@3]
status = serving
input_price = 3
[workspace.yard]
keys = ${hash}
allowed = tog
[workspace.depot]
allowed = other
[workspace.gone.application.desk]
priority = 1
[workspace.empty]
`;
        const errors = parseConfigurationFile(content, "tree.ini")._unsafeUnwrapErr().map(formatValidationError);
        expect(errors).toEqual([
            "tree.ini:41: [version.plan@3] output_price: A version that can take work needs a price. Write, for instance, "
            + "output_price = 1.60.",
            "tree.ini:45: [workspace.yard] keys: The key aaaaaaaa... belongs to [workspace.bench] already. Make a key of its "
            + "own with `rattanlock key`.",
            "tree.ini:46: [workspace.yard] allowed: \"tog\" is no model or version of this tree. Did you mean tag?",
            "tree.ini:48: [workspace.depot] allowed: No version remains, because the lists of its ancestors allow none of "
            + "these. Choose from what [root] allow.",
            "tree.ini:49: [workspace.gone.application.desk] Its workspace [workspace.gone] does not exist. Add "
            + "[workspace.gone] with its keys, or remove this section.",
            "tree.ini:51: [workspace.empty] The section has no keys. Add a key, or remove the section: a scope without a "
            + "section inherits all settings.",
        ]);
    });
});
