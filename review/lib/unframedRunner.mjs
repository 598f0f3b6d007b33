// A runner whose answers have neither a length nor chunks and end with their connections. Usage: unframedRunner.mjs HOST LOG
// It begins an answer with its first half, works, writes the rest, and closes. Each step is a line of the log.
import { appendFileSync } from "node:fs";
import { createServer } from "node:net";

const [, , host, log] = process.argv;
const workMilliseconds = 200;

/** The whole body of the answer to a request. */
export function createBody(id) {
    return `confirmation of ${id}\n${"label text ".repeat(60)}\nend of confirmation ${id}\n`;
}

if (host !== undefined) {
    const server = createServer(socket => {
        let text = "";
        socket.on("error", () => {});
        socket.on("data", data => {
            text += data.toString("latin1");
            const end = text.indexOf("\r\n\r\n");
            const length = Number(/^content-length: *(\d+)/im.exec(text)?.[1] ?? 0);
            if (end < 0 || text.length < end + 4 + length) {
                return;
            }
            const id = /^attempt-id: *(\S+)/im.exec(text)[1];
            text = "";
            appendFileSync(log, `runs ${id}\n`);
            const body = createBody(id);
            socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\nServer-Load: 1,0,6\r\n`
                + `Content-Type: text/plain\r\nConnection: close\r\n\r\n${body.slice(0, body.length / 2)}`);
            setTimeout(() => socket.end(body.slice(body.length / 2), () => appendFileSync(log, `answered ${id}\n`)),
                workMilliseconds);
        });
    });
    server.listen(Number(process.argv[4] ?? 0), host, () => console.log(server.address().port));
}
