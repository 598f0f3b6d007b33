// Generates docs/EVENTS.md from the compiled catalogue of events.
import { writeFileSync } from "node:fs";
import { formatCatalogue } from "../dist/src/events/index.js";

writeFileSync(new URL("../docs/EVENTS.md", import.meta.url), formatCatalogue());
