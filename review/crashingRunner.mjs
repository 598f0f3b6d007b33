// A runner of a plain service. It ends, as by a crash, when it begins to run a request whose target holds the word in CRASHES_ON.
// Usage: crashingRunner.mjs HOST PORT LOG
import { appendFileSync } from "node:fs";
import { createServer } from "node:http";

const [, , host, port, log] = process.argv;
const workMilliseconds = 43;
const word = process.env.CRASHES_ON;

const server = createServer(async (request, response) => {
    const id = request.headers["attempt-id"];
    appendFileSync(log, `${Date.now()} runs ${id} ${request.method} ${request.url}\n`);
    if (word && request.url.includes(word)) {
        appendFileSync(log, `${Date.now()} crashes ${id}\n`);
        process.exit(1);
    }
    try {
        for await (const piece of request) {
            void piece;
        }
    }
    catch {
        return;
    }
    setTimeout(() => {
        const body = `result of ${request.url}`;
        response.writeHead(200, {
            "Attempt-Id": id, "Server-Seal": `seal-${id}`, "Server-Load": "1,0,6", "Content-Length": body.length,
        }).end(body);
    }, workMilliseconds);
});
server.keepAliveTimeout = 20_000;
server.listen(Number(port), host, () => console.log("listens"));
