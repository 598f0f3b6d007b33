/** How often a request may be sent once more. */
export * from "./windowedRetryBudget.js";
