/**
 * Collects bytes that arrive in pieces.
 */

/** Smallest and largest size of the blocks into which small pieces are copied. */
const minBlockBytes = 1_024;
const maxBlockBytes = 64 * 1024;

/**
 * Collects pieces until all of them are needed at once. Small pieces are copied into blocks: an object for each of them would take many
 * times the memory of its bytes.
 */
export class ByteCollector {
    #pieces: Buffer[] = [];
    #block: Buffer = Buffer.alloc(0);
    /** Bytes of the block that are in use. */
    #blockLength = 0;
    #length = 0;

    /** The number of bytes collected. */
    get length(): number {
        return this.#length;
    }

    /** Adds a piece, which must not change afterwards. */
    add(piece: Buffer): void {
        if (piece.length === 0) {
            return;
        }
        this.#length += piece.length;
        if (piece.length >= maxBlockBytes / 2) {
            this.#closeBlock();
            this.#pieces.push(piece);
            return;
        }
        if (piece.length > this.#block.length - this.#blockLength) {
            this.#closeBlock();
            this.#block = Buffer.allocUnsafeSlow(this.#getBlockBytes());
        }
        piece.copy(this.#block, this.#blockLength);
        this.#blockLength += piece.length;
    }

    /** Returns all bytes in their order. */
    read(): Buffer {
        this.#closeBlock();
        if (this.#pieces.length > 1) {
            this.#pieces = [Buffer.concat(this.#pieces)];
        }
        return this.#pieces.length === 0 ? Buffer.alloc(0) : this.#pieces[0];
    }

    /** Discards all bytes. */
    clear(): void {
        this.#pieces = [];
        this.#block = Buffer.alloc(0);
        this.#blockLength = 0;
        this.#length = 0;
    }

    /** Returns the size of the next block: as much as was collected so far, so that a short answer does not hold a large one. */
    #getBlockBytes(): number {
        return Math.min(maxBlockBytes, Math.max(minBlockBytes, 2 * this.#length));
    }

    /** Makes the used part of the block a piece. What is left of the block takes further pieces. */
    #closeBlock(): void {
        if (this.#blockLength > 0) {
            this.#pieces.push(this.#block.subarray(0, this.#blockLength));
            this.#block = this.#block.subarray(this.#blockLength);
            this.#blockLength = 0;
        }
    }
}
