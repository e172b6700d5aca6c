import type { LogPosition } from "../../statements/types/LogPosition.js";

/**
 * Formats a log position as `TERM.NUMBER`.
 *
 * @param position The position.
 * @returns Its text.
 *
 * @example
 * formatPosition({ term: 3, entry: 1207 }); // => "3.1207"
 */
export function formatPosition(position: LogPosition): string {
    return `${position.term}.${position.entry}`;
}
