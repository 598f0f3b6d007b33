/** Settings files: typed keys, schemas, and validation that reports all errors at once. */
export * from "./entrySettings.js";
export * from "./reference.js";
export * from "./settingDocument.js";
export * from "./settingKey.js";
export * from "./settingSchema.js";
export * from "./siteSettings.js";
export * from "./validationError.js";
