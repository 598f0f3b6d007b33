/**
 * Decodes callers' requests: their headers and bodies.
 */
import type { IncomingMessage } from "node:http";
import type { CallerRequest, Generation, PromptPart } from "../forwarding/index.js";
import { findHeader, findNumber, pickRequestHeaders } from "./headers.js";
import { anyModel, headerNames } from "./wire.js";

/** When a request was read, and when it may have arrived. */
export type ArrivalTimes = Pick<CallerRequest, "arrivedAt" | "sentAt">;

/**
 * Decodes the headers of a request.
 * @param incoming - The request.
 * @param body - Its complete body.
 * @param times - The times of its arrival.
 * @returns The request, or a message that describes the invalid header.
 */
export function decodeRequest(incoming: IncomingMessage, body: Buffer, times: ArrivalTimes): CallerRequest | string {
    const raw = incoming.rawHeaders;
    const id = findHeader(raw, headerNames.requestId);
    if (id === undefined || id === "") {
        return `The header ${headerNames.requestId} is missing.`;
    }
    const deadlineMilliseconds = findNumber(raw, headerNames.deadline);
    if (deadlineMilliseconds === undefined && findHeader(raw, headerNames.deadline) !== undefined) {
        return `The header ${headerNames.deadline} is not a number of milliseconds.`;
    }
    return {
        id,
        method: incoming.method ?? "GET",
        host: findHeader(raw, "host") ?? "",
        target: incoming.url ?? "/",
        headers: pickRequestHeaders(raw),
        body,
        deadlineMilliseconds,
        apiKey: findHeader(raw, headerNames.apiKey),
        session: findHeader(raw, headerNames.session),
        generation: decodeGeneration(raw),
        lastEventId: findHeader(raw, headerNames.lastEventId),
        ...times,
    };
}

/** Decodes the generation parameters. Malformed prompt parts are skipped: without them only cache affinity is lost. */
function decodeGeneration(raw: readonly string[]): Generation | undefined {
    const model = findHeader(raw, headerNames.model);
    const tokens = findHeader(raw, headerNames.tokens);
    if (model === undefined && tokens === undefined) {
        return undefined;
    }
    const [promptTokens, maxOutputTokens] = (tokens ?? "").split(",").map(Number);
    return {
        model: model === anyModel ? undefined : model,
        promptTokens: Number.isFinite(promptTokens) ? promptTokens : 0,
        maxOutputTokens: Number.isFinite(maxOutputTokens) ? maxOutputTokens : 0,
        expectedOutputTokens: findNumber(raw, headerNames.lengthHint),
        parts: decodeParts(findHeader(raw, headerNames.promptParts) ?? ""),
    };
}

function decodeParts(text: string): readonly PromptPart[] {
    const parts: PromptPart[] = [];
    for (const entry of text.split(",")) {
        const [id, tokens] = entry.trim().split(":");
        if (id !== "" && Number.isFinite(Number(tokens))) {
            parts.push({ id, tokens: Number(tokens) });
        }
    }
    return parts;
}

/**
 * Counts the bytes of a request's headers.
 * @param raw - Alternating names and values.
 */
export function countHeaderBytes(raw: readonly string[]): number {
    let bytes = 0;
    for (const text of raw) {
        // Each name is followed by a colon and a space, each value by a line break.
        bytes += text.length + 2;
    }
    return bytes;
}
