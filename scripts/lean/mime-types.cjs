// Loads the table of media types when it is first needed. Koa needs it only to guess the type of an answer, and a node states the
// type of each answer itself.
const load = () => require("mime-types");

for (const name of ["charset", "contentType", "extension", "lookup"]) {
    exports[name] = (...values) => load()[name](...values);
}
for (const name of ["charsets", "extensions", "types"]) {
    Object.defineProperty(exports, name, { enumerable: true, get: () => load()[name] });
}
