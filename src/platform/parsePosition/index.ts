import type { LogPosition } from "../../statements/types/LogPosition.js";

/**
 * Parses a log position, written as `TERM.ENTRY`.
 *
 * @param text The position, or `-`.
 * @returns The position; undefined when the text is not a position, or a number of it is too large to be exact.
 *
 * @example
 * parsePosition("3.1207"); // => { term: 3, entry: 1207 }
 */
export function parsePosition(text: string): LogPosition | undefined {
    const match = /^(\d+)\.(\d+)$/.exec(text);
    if (!match) {
        return undefined;
    }
    const [term, entry] = [Number(match[1]), Number(match[2])];
    return Number.isSafeInteger(term) && Number.isSafeInteger(entry) ? { term, entry } : undefined;
}
