/** The configuration tree, the fold that builds it from the log, and the reader that keeps it up to date. */
export * from "./checkTree.js";
export * from "./configuration.js";
export * from "./configurationFile.js";
export * from "./configurationFold.js";
export * from "./configurationReader.js";
export * from "./configurationSnapshot.js";
export * from "./effectiveSettings.js";
export * from "./publication.js";
export * from "./recordResult.js";
export * from "./snapshotWriter.js";
export * from "./tree.js";
export * from "./treeSchema.js";
