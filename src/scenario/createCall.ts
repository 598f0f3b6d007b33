/**
 * Creation of the HTTP call for a `send` step.
 */
import type { Call } from "../testbench/index.js";
import type { ScenarioSite } from "./scenarioSite.js";

const defaultTimeoutMilliseconds = 30_000;

/**
 * Creates the call of a `send` step. The name of the request is sent as its identifier, which stand-ins use unchanged.
 * @param name - The name of the request.
 * @param site - The site that receives it.
 * @param options - The options of the step.
 */
export function createCall(name: string, site: ScenarioSite, options: ReadonlyMap<string, string>): Call {
    const common = {
        address: site.getAddress(options.get("to") ?? ""),
        headers: createHeaders(name, site, options),
        timeoutMilliseconds: Number(options.get("within") ?? defaultTimeoutMilliseconds),
    };
    const path = options.get("path");
    if (path !== undefined) {
        const method = (options.get("method") ?? "POST") as Call["method"];
        return { ...common, path, method, body: method === "GET" ? undefined : { text: options.get("body") ?? "" } };
    }
    const tokens = options.get("tokens");
    return {
        ...common,
        path: "/v1/chat/completions",
        method: "POST",
        body: {
            model: options.get("model") ?? "auto",
            messages: [{ role: "user", content: options.get("content") ?? name }],
            stream: options.get("stream") === "yes",
            max_tokens: tokens === undefined ? undefined : Number(tokens),
        },
    };
}

function createHeaders(
    name: string,
    site: ScenarioSite,
    options: ReadonlyMap<string, string>,
): Readonly<Record<string, string>> {
    const headers: Record<string, string> = { "x-request-id": name };
    const add = (header: string, value: string | undefined): void => {
        if (value !== undefined) {
            headers[header] = value;
        }
    };
    const workspace = options.get("workspace");
    add("authorization", workspace === undefined ? undefined : `Bearer ${site.getApiKey(workspace)}`);
    add("x-rattanlock-class", options.get("class"));
    add("x-request-class", options.get("class"));
    add("x-rattanlock-session", options.get("session"));
    add("idempotency-key", options.get("key"));
    return headers;
}
