/**
 * Reads documents that other systems send.
 */
import { ByteCollector } from "./byteCollector.js";
import { Failure } from "./errors.js";

/** Largest document that is read. The list of a site of thousands of VMs takes less than a tenth of it. */
const maxDocumentBytes = 16 * 1024 * 1024;

/**
 * Reads a document completely. Throws a `Failure` if it has no end within the bound; the connection is closed then.
 * @param body - The body of an answer.
 */
export async function readDocument(body: AsyncIterable<Uint8Array>): Promise<string> {
    const collector = new ByteCollector();
    for await (const piece of body) {
        collector.add(Buffer.from(piece.buffer, piece.byteOffset, piece.byteLength));
        if (collector.length > maxDocumentBytes) {
            throw new Failure({
                kind: "protocol",
                message: `A document has no end within ${maxDocumentBytes} bytes.`,
                remedy: "Check what answers at its address.",
            });
        }
    }
    return collector.read().toString();
}
