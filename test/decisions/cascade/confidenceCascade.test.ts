import { expect } from "earl";
import { describe, it } from "node:test";
import { chooseFirstModel, chooseNextModel } from "../../../src/decisions/index.js";

const models = ["small", "middle", "large"];
const firstModelOptions = { models, retriesLeft: 20, attemptsLeft: 3, isContinued: false };

describe("chooseFirstModel", () => {
    it("begins with the smallest", () => {
        expect(chooseFirstModel(firstModelOptions)).toEqual("small");
    });

    // The pool's repeats are used up. A small model's poor answer could not be bettered, and the caller would be left with it.
    it("begins with the largest when no second step is possible", () => {
        expect(chooseFirstModel({ ...firstModelOptions, retriesLeft: 1 })).toEqual("large");
        expect(chooseFirstModel({ ...firstModelOptions, attemptsLeft: 1 })).toEqual("large");
    });

    it("goes on with the largest where the caller has a part of an answer", () => {
        expect(chooseFirstModel({ ...firstModelOptions, isContinued: true })).toEqual("large");
    });
});

describe("chooseNextModel", () => {
    it("keeps an answer that the model trusts, or says nothing of", () => {
        expect(chooseNextModel({ models, model: "small", confidence: 50, isInTime: () => true })).toEqual(undefined);
        expect(chooseNextModel({ models, model: "small", confidence: undefined, isInTime: () => true })).toEqual(
            undefined,
        );
    });

    it("asks the largest in place of a model that doubts itself, and nobody in place of the largest", () => {
        expect(chooseNextModel({ models, model: "small", confidence: 49, isInTime: () => true })).toEqual("large");
        expect(chooseNextModel({ models, model: "large", confidence: 0, isInTime: () => true })).toEqual(undefined);
    });

    // Runners are crowded. A second answer would come too late to be of much use, and crowd them more.
    it("keeps a doubtful answer when a better one would be late, and gives up one that is almost certainly poor", () => {
        expect(chooseNextModel({ models, model: "small", confidence: 30, isInTime: () => false })).toEqual(undefined);
        expect(chooseNextModel({ models, model: "small", confidence: 10, isInTime: () => false })).toEqual("large");
    });
});
