// Generates docs/SETTINGS.md from the compiled settings schemas.
import { writeFileSync } from "node:fs";
import { treeSchema } from "../dist/src/configuration/index.js";
import { entrySchema, formatReference, ledgerSchema, siteSchema } from "../dist/src/settings/index.js";

const page = new URL("../docs/SETTINGS.md", import.meta.url);
writeFileSync(page, formatReference([treeSchema, entrySchema, ledgerSchema, siteSchema]));
