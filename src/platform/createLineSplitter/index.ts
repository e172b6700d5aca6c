/** Splits a stream of bytes into lines. */
interface LineSplitter {
    /** Appends bytes; returns the lines that they complete, or undefined when a line is too long. */
    push(chunk: Buffer): string[] | undefined;
}

const lineEnd = "\r\n";

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
    let pieces: string[] = [];
    let pendingBytes = 0;

    function push(chunk: Buffer): string[] | undefined {
        const text = chunk.toString("latin1");
        if (!text.includes(lineEnd) && !(text.startsWith("\n") && pieces.at(-1)?.endsWith("\r"))) {
            pieces.push(text);
            pendingBytes += text.length;
            return pendingBytes > maximumBytes ? undefined : [];
        }
        const lines = (pieces.join("") + text).split(lineEnd);
        const remainder = lines.pop() ?? "";
        pieces = remainder === "" ? [] : [remainder];
        pendingBytes = remainder.length;
        return pendingBytes > maximumBytes || lines.some(line => line.length > maximumBytes) ? undefined : lines;
    }

    return { push };
}
