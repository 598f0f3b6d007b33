// Sends the reload signal to this process when it starts to load the program.
import fs from "node:fs";

const { readFileSync } = fs;
fs.readFileSync = (path, ...rest) => {
    if (String(path).endsWith("node.cjs")) {
        process.kill(process.pid, "SIGHUP");
    }
    return readFileSync(path, ...rest);
};
