// Bundles the node's program into target/node.cjs and keeps its compiled code in target/node.cache.
import { build } from "esbuild";
import { writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";

const { loadBundle } = createRequire(import.meta.url)("../deploy/loadBundle.cjs");
const folder = join(import.meta.dirname, "..");
const bundle = join(folder, "target", "node.cjs");

await build({
    entryPoints: [join(folder, "src", "platform", "program.ts")],
    outfile: bundle,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    logLevel: "warning",
});
// The code of modules that were evaluated is part of what is kept, so the program is loaded once before.
const { script } = loadBundle(bundle, undefined);
writeFileSync(join(folder, "target", "node.cache"), script.createCachedData());
