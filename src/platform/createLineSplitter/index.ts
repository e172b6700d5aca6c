import { createLineBuffer } from "../createLineBuffer/index.js";

/** Splits a stream of bytes into lines. */
interface LineSplitter {
    /** Appends bytes; returns the lines that they complete, or undefined when a line is too long. */
    push(chunk: Buffer): string[] | undefined;
}

/**
 * Creates a splitter of lines that end with CR LF; a CR or LF alone is part of its line. The bytes are decoded as Latin-1, which keeps each byte as it is.
 *
 * @param maximumBytes Longest line, in bytes.
 * @returns The splitter, with an empty buffer.
 *
 * @example
 * createLineSplitter(1_024).push(Buffer.from("TERM\r\nQUE")); // => ["TERM"]
 */
export function createLineSplitter(maximumBytes: number): LineSplitter {
    const buffer = createLineBuffer(maximumBytes);

    function push(chunk: Buffer): string[] | undefined {
        const lines: string[] = [];
        buffer.append(chunk);
        for (let line = buffer.next(); line !== undefined; line = buffer.next()) {
            lines.push(line);
        }
        return buffer.isTooLong() ? undefined : lines;
    }

    return { push };
}
