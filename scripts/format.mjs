// Formats the files that dprint.json includes, or, with --check, names those that are not formatted and fails.
// The formatter runs as WebAssembly: dprint's own program needs a newer C library than some machines have.
import { createContext } from "@dprint/formatter";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";

const { includes, excludes, plugins, typescript, ...globalConfiguration } = JSON.parse(
    readFileSync("dprint.json", "utf8"),
);
const { values: { check } } = parseArgs({ options: { check: { type: "boolean", default: false } } });

/** Creates the expression for a pattern: `**` + `/` stands for any number of folders, `*` for a part of a name. */
function createExpression(pattern) {
    const escaped = pattern.replaceAll(/[.+^${}()|[\]\\]/g, "\\$&");
    const source = escaped.replaceAll(
        /\*\*\/|\*/g,
        wildcard => wildcard === "*" ? "[^/]*" : "(?:[^/]+/)*",
    );
    return new RegExp(`^${source}(?:/|$)`);
}

const included = includes.map(createExpression);
const excluded = excludes.map(createExpression);

function* findFiles(folder) {
    for (const entry of readdirSync(folder === "" ? "." : folder, { withFileTypes: true })) {
        const path = folder + entry.name;
        if (entry.name === ".git" || excluded.some(expression => expression.test(path))) {
            continue;
        }
        if (entry.isDirectory()) {
            yield* findFiles(`${path}/`);
        }
        else if (included.some(expression => expression.test(path))) {
            yield path;
        }
    }
}

const context = createContext(globalConfiguration);
for (const plugin of plugins) {
    context.addPlugin(readFileSync(plugin), typescript);
}
const diagnostics = context.getConfigDiagnostics();
if (diagnostics.length > 0) {
    console.error("dprint.json is not valid:", diagnostics);
    process.exit(1);
}
let count = 0;
const changed = [];
for (const filePath of findFiles("")) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = context.formatText({ filePath, fileText });
    count += 1;
    if (formatted === fileText) {
        continue;
    }
    changed.push(filePath);
    if (!check) {
        writeFileSync(filePath, formatted);
    }
}
if (count === 0) {
    console.error("dprint.json includes no file.");
    process.exit(1);
}
for (const path of changed) {
    console.log(check ? `not formatted: ${path}` : `formatted: ${path}`);
}
if (check && changed.length > 0) {
    console.error(`${changed.length} of ${count} files are not formatted. Run: npm run format`);
    process.exit(1);
}
