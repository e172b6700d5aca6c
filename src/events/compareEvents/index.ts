import type { TimelineEvent } from "../types/TimelineEvent.js";

/**
 * Compares two events by their hybrid logical timestamps, then by process and sequence.
 *
 * @param left One event.
 * @param right Another event.
 * @returns Negative when the left one comes first, positive when the right one does.
 *
 * @example
 * events.sort(compareEvents);
 */
export function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
    return left.timestamp.wallMilliseconds - right.timestamp.wallMilliseconds
        || left.timestamp.counter - right.timestamp.counter
        || left.process.localeCompare(right.process)
        || left.sequence - right.sequence;
}
