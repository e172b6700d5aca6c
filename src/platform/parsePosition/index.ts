import type { LogPosition } from "../../statements/types/LogPosition.js";

/**
 * Parses a log position, written as `TERM.ENTRY`.
 *
 * @param text The position, or `-`.
 * @returns The position; undefined when the text is not a position.
 *
 * @example
 * parsePosition("3.1207"); // => { term: 3, entry: 1207 }
 */
export function parsePosition(text: string): LogPosition | undefined {
    const match = /^(\d+)\.(\d+)$/.exec(text);
    return !match ? undefined : { term: Number(match[1]), entry: Number(match[2]) };
}
