/** Settings files: typed keys, schemas, and checks that report every mistake at once. */
export * from "./entrySettings.js";
export * from "./reference.js";
export * from "./settingDocument.js";
export * from "./settingKey.js";
export * from "./settingSchema.js";
export * from "./siteSettings.js";
export * from "./validationError.js";
