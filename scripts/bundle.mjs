// Bundles the node's program into target/node.cjs and stores its V8 code cache in target/node.cache.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { join } from "node:path";

const folder = join(import.meta.dirname, "..");
const lean = join(import.meta.dirname, "lean");
/** Modules that replace a package's main module in the bundle. They load less code, since callers wait while a node starts. */
const entries = {
    "@grpc/grpc-js": join(lean, "grpc.cjs"),
    "awilix": join(folder, "node_modules", "awilix", "lib", "awilix.browser.mjs"),
    "koa": join(lean, "koa.cjs"),
    "mime-types": join(lean, "mime-types.cjs"),
    "prom-client": join(lean, "prom-client.cjs"),
    "undici": join(lean, "undici.cjs"),
};
const leanEntries = {
    name: "lean-entries",
    setup(options) {
        options.onResolve({ filter: /^[^.]/ }, ({ path, importer }) => {
            return path in entries && !importer.startsWith(lean) ? { path: entries[path] } : undefined;
        });
    },
};

await build({
    entryPoints: [join(folder, "src", "platform", "program.ts")],
    outfile: join(folder, "target", "node.cjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    logLevel: "warning",
    plugins: [leanEntries],
});
// V8 rejects a code cache that was created with other flags, so the cache is created with the flags that nodes run with.
const [, flags] = /^run = "node (.*?) ?deploy\/launch\.cjs/m.exec(
    readFileSync(join(folder, "deploy", "system.toml"), "utf8"),
);
execFileSync(process.execPath, [...flags.split(" ").filter(Boolean), join(folder, "scripts", "keepCode.cjs")]);
