/**
 * A runner in a process of its own, whose answers have neither a length nor chunks and end with their connections.
 * Usage: unframedRunnerMain.js HOST PORT
 */
import { createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createFramedEvent } from "./framedRunner.js";
import { unframedBodyPieces, unframedEventBytes, unframedEvents } from "./unframedRunner.js";

const pieceMilliseconds = 20;
const headEnd = "\r\n\r\n";

async function answer(socket: Socket, head: string): Promise<void> {
    if (head.startsWith("GET /healthz ")) {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 0${headEnd}`);
        return;
    }
    const attempt = /attempt-id: (\S+)/i.exec(head)?.[1] ?? "";
    const lastEventId = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0);
    const isBooking = head.startsWith("POST /booking/");
    const type = isBooking ? "text/plain" : "text/event-stream";
    socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: 3e1b.07\r\nContent-Type: ${type}${headEnd}`,
    );
    const pieces = isBooking ? unframedBodyPieces : createEvents(lastEventId);
    for (const piece of pieces) {
        await sleep(pieceMilliseconds);
        socket.write(piece);
    }
    socket.end();
}

function createEvents(lastEventId: number): readonly string[] {
    const events: string[] = [];
    for (let id = lastEventId + 1; id <= unframedEvents; id += 1) {
        events.push(createFramedEvent(id, unframedEventBytes));
    }
    return events;
}

const [, , host, port] = process.argv;
const server = createServer(socket => {
    let received = "";
    socket.on("error", () => {
        // The reader closed the connection.
    });
    socket.on("data", data => {
        received += data.toString();
        const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
        const headLength = received.indexOf(headEnd) + headEnd.length;
        if (headLength >= headEnd.length && received.length >= headLength + length) {
            const head = received;
            received = "";
            void answer(socket, head);
        }
    });
});
server.listen(Number(port), host, () => console.log("listens"));
process.on("disconnect", () => process.exit());
