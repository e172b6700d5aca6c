import type { LogPosition } from "../../statements/types/LogPosition.js";

/**
 * Formats a log position as `TERM.ENTRY`.
 *
 * @param position The position.
 * @returns The text.
 *
 * @example
 * formatPosition({ term: 3, entry: 1207 }); // => "3.1207"
 */
export function formatPosition(position: LogPosition): string {
    return `${position.term}.${position.entry}`;
}
