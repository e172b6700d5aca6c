/** Received bytes, of which lines are taken one by one. */
interface LineBuffer {
    /** Appends received bytes. */
    append(chunk: Buffer): void;
    /** Takes the next complete line; undefined when there is none, or when the line is too long. */
    next(): string | undefined;
    /** Whether the next line is longer than allowed. */
    isTooLong(): boolean;
    /** Number of bytes that are held. */
    size(): number;
    /** Discards all bytes. */
    clear(): void;
}

const lineEnd = "\r\n";
const carriageReturn = 0x0d;
const lineFeed = 0x0a;
/** Number of pieces above which small ones are joined, so that bytes that arrive one by one take little memory. */
const maximumPieces = 32;

/**
 * Creates a buffer of lines that end with CR LF; a CR or LF alone is part of its line. The bytes are decoded as Latin-1, which keeps each byte as it is.
 *
 * @param maximumBytes Longest line, in bytes.
 * @returns The buffer, empty.
 *
 * @example
 * const buffer = createLineBuffer(1_024);
 * buffer.append(Buffer.from("TERM\r\nQUE"));
 * buffer.next(); // => "TERM"
 * buffer.next(); // => undefined
 */
export function createLineBuffer(maximumBytes: number): LineBuffer {
    /** Pieces of a line whose end was not received. */
    let pieces: Buffer[] = [];
    let pieceBytes = 0;
    /** Bytes in which no line end was looked for. */
    let rest: Buffer | undefined;
    let hasLongLine = false;

    function append(chunk: Buffer): void {
        rest = rest === undefined ? chunk : Buffer.concat([rest, chunk]);
    }

    function next(): string | undefined {
        if (rest === undefined || hasLongLine) {
            return undefined;
        }
        const isLineEndSplit = rest[0] === lineFeed && pieces.at(-1)?.at(-1) === carriageReturn;
        const endIndex = isLineEndSplit ? 0 : rest.indexOf(lineEnd, 0, "latin1");
        if (endIndex < 0) {
            keepPiece(rest);
            rest = undefined;
            hasLongLine = pieceBytes > maximumBytes;
            return undefined;
        }
        const line = takeLine(rest.subarray(0, endIndex), isLineEndSplit);
        const nextIndex = endIndex + (isLineEndSplit ? 1 : lineEnd.length);
        rest = nextIndex === rest.length ? undefined : rest.subarray(nextIndex);
        hasLongLine = line.length > maximumBytes;
        return hasLongLine ? undefined : line;
    }

    function takeLine(lastPiece: Buffer, isLineEndSplit: boolean): string {
        if (pieces.length === 0) {
            return lastPiece.toString("latin1");
        }
        const bytes = Buffer.concat([...pieces, lastPiece]);
        pieces = [];
        pieceBytes = 0;
        return bytes.toString("latin1", 0, isLineEndSplit ? bytes.length - 1 : bytes.length);
    }

    function keepPiece(piece: Buffer): void {
        // A part of a larger buffer would keep all of it in memory.
        pieces.push(piece.length < piece.buffer.byteLength ? Buffer.from(piece) : piece);
        pieceBytes += piece.length;
        while (pieces.length > maximumPieces && pieces.at(-2)!.length <= pieces.at(-1)!.length) {
            pieces.push(Buffer.concat(pieces.splice(-2)));
        }
    }

    function clear(): void {
        pieces = [];
        pieceBytes = 0;
        rest = undefined;
    }

    return {
        append,
        next,
        isTooLong: () => hasLongLine,
        size: () => pieceBytes + (rest?.length ?? 0),
        clear,
    };
}
