/**
 * Text of an answer. It contains the request's identifier, the version and the true quality. Tests can thus check that an
 * answer is complete and belongs to the right request, and the rating stand-in can score it without evaluating its content.
 */
import { createHash } from "node:crypto";
import { RandomSource } from "../../common/index.js";

const words = ["blade", "edge", "angle", "coolant", "flute", "grind", "hone", "mill", "relief", "saw", "tip", "wheel"];
const qualityPattern = /\[quality (\d(?:\.\d+)?)\]\s*$/;

/** Inputs of an answer's text. The same inputs give the same text. */
export interface AnswerParts {
    /** Identifier of the request. */
    readonly request: string;
    readonly version: string;
    /** True quality of this answer, from 0 to 1. */
    readonly quality: number;
    /** Number of tokens of the text. With fewer than 2 the quality is left out, as in a truncated answer. */
    readonly tokens: number;
}

/** Returns the tokens of an answer, in order. */
export function createAnswerTokens(parts: AnswerParts): readonly string[] {
    const random = createSeededRandom(parts.request, parts.version, "words");
    const tokens = [`answer ${parts.request} by ${parts.version}:`];
    while (tokens.length < parts.tokens - 1) {
        tokens.push(` ${words[random.nextInteger(words.length)]}`);
    }
    if (parts.tokens > 1) {
        tokens.push(` [quality ${parts.quality.toFixed(3)}]`);
    }
    return tokens;
}

/** Returns the quality that an answer contains, or undefined when its end is missing. */
export function getAnswerQuality(answer: string): number | undefined {
    const match = qualityPattern.exec(answer);
    return match ? Number(match[1]) : undefined;
}

/** Returns the hash of an answer's text in the form that journals use. */
export function getAnswerHash(answer: string): string {
    return createHash("sha256").update(answer).digest("hex").slice(0, 16);
}

/**
 * Draws the true quality of one answer from a uniform distribution around the mean, so that the mean over many answers is
 * the version's true quality.
 */
export function drawQuality(request: string, version: string, mean: number, spread: number): number {
    const width = Math.min(spread, mean, 1 - mean);
    return mean + (2 * createSeededRandom(request, version, "quality").next() - 1) * width;
}

/** Draws the length of an answer in tokens. It depends only on the request. */
export function drawAnswerTokens(request: string, mean: number): number {
    const factor = 0.5 + createSeededRandom(request, "length").next();
    return Math.max(2, Math.round(mean * factor));
}

/** Draws whether a request fails on a version, with the error rate as probability. */
export function drawError(request: string, version: string, errorRate: number): boolean {
    return createSeededRandom(request, version, "error").next() < errorRate;
}

/** Returns a random source that is seeded with strings. */
export function createSeededRandom(...seeds: readonly string[]): RandomSource {
    return new RandomSource(createHash("sha256").update(seeds.join("\n")).digest().readInt32LE(0));
}
