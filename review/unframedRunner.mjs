// A runner whose answers have neither a length nor chunks and end with their connections. Usage: unframedRunner.mjs HOST LOG PORT
// An event of a stream is one write. A stream that is resumed goes on after Last-Event-Id. A request below /print/ gets a confirmation:
// its first half at once, the rest after the work.
import { appendFileSync } from "node:fs";
import { createServer } from "node:net";

const [, , host, log, port] = process.argv;
export const eventCount = 30;
const eventMilliseconds = 100;
const workMilliseconds = 200;

export function createEvent(id, number) {
    return `id: ${number}\ndata: ${id} token ${number} of ${eventCount}\n\n`;
}

/** The whole body of a confirmation. */
export function createBody(id) {
    return `confirmation of ${id}\n${"label text ".repeat(60)}\nend of confirmation ${id}\n`;
}

if (host !== undefined) {
    const server = createServer(socket => {
        let text = "";
        let timer;
        socket.on("error", () => {});
        socket.on("close", () => clearInterval(timer));
        socket.on("data", data => {
            text += data.toString("latin1");
            const end = text.indexOf("\r\n\r\n");
            const length = Number(/^content-length: *(\d+)/im.exec(text)?.[1] ?? 0);
            if (end < 0 || text.length < end + 4 + length) {
                return;
            }
            const id = /^attempt-id: *(\S+)/im.exec(text)[1];
            let number = Number(/^last-event-id: *(\d+)/im.exec(text)?.[1] ?? 0);
            const isPrint = text.startsWith("POST /print/");
            text = "";
            appendFileSync(log, `runs ${id} after ${number}\n`);
            if (isPrint) {
                const body = createBody(id);
                socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\nServer-Load: 1,0,16\r\n`
                    + `Content-Type: text/plain\r\nConnection: close\r\n\r\n${body.slice(0, body.length / 2)}`);
                timer = setTimeout(() => socket.end(body.slice(body.length / 2)), workMilliseconds);
                return;
            }
            socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\nServer-Load: 1,0,16\r\n`
                + `Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`);
            timer = setInterval(() => {
                number += 1;
                if (number <= eventCount) {
                    socket.write(createEvent(id, number));
                }
                if (number >= eventCount) {
                    clearInterval(timer);
                    socket.end();
                }
            }, eventMilliseconds);
        });
    });
    server.listen(Number(port ?? 0), host, () => console.log(server.address().port));
}
