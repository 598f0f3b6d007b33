import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import OpenAI from "openai";
import { getApiKey, metroManila, ProcessGroup, Site, type SiteDescription } from "../../src/testbench/index.js";

const description: SiteDescription = { ...metroManila, prefix: "127.60.1", entryCount: 2 };

describe("CallerServer with the public client", () => {
    const group = new ProcessGroup();
    let site: Site;

    before(async () => {
        site = await Site.start(group, description);
    });

    after(() => group.killAll());

    function createClient(key = getApiKey("commissary")): OpenAI {
        const [entry] = site.getEntries();
        return new OpenAI({ apiKey: key, baseURL: `http://${entry.callerAddress}/v1`, maxRetries: 0 });
    }

    it("answers a chat completion", async () => {
        const answer = await createClient().chat.completions.create({
            model: "auto",
            messages: [{ role: "user", content: "Is there peanut in the pandan cake?" }],
        });
        expect(answer.choices[0].message.content ?? "").toEqual(expect.includes("[quality"));
        expect(answer.usage?.completion_tokens ?? 0).toBeGreaterThan(0);
    });

    it("streams a chat completion to its end", async () => {
        const stream = await createClient().chat.completions.create({
            model: "label-small",
            messages: [{ role: "user", content: "Draft the wording of a label." }],
            stream: true,
        });
        let text = "";
        let finishReason: string | undefined;
        for await (const chunk of stream) {
            text += chunk.choices[0]?.delta.content ?? "";
            finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
        }
        expect(text).toEqual(expect.includes("by label-small@5"));
        expect(finishReason).toEqual("stop");
    });

    it("lists the models that the workspace allows", async () => {
        const names: string[] = [];
        for await (const model of createClient(getApiKey("banquet")).models.list()) {
            names.push(model.id);
        }
        expect(names).toEqual(["auto", "label-small@5", "label-small@6"]);
    });

    it("raises the client's own errors for refusals", async () => {
        const requestChat = (client: OpenAI, model: string) =>
            client.chat.completions.create({ model, messages: [{ role: "user", content: "Hello" }] });
        await expect(requestChat(createClient("no-such-key"), "auto")).toBeRejectedWith(OpenAI.AuthenticationError);
        await expect(requestChat(createClient(getApiKey("banquet")), "label-large"))
            .toBeRejectedWith(OpenAI.PermissionDeniedError);
    });
});
