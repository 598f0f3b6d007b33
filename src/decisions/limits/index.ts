/** Admission control: whether a request is admitted at all. */
export * from "./admission.js";
export * from "./admissionController.js";
export * from "./options.js";
export * from "./retryBudget.js";
export { Ticket } from "./ticket.js";
