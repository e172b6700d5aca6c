import type { TimelineEvent } from "../types/TimelineEvent.js";

/**
 * Formats an event as one human-readable line.
 *
 * @param event The event.
 * @returns Time, process, kind, subjects (database, endpoint, term, version, request) and text.
 *
 * @example
 * formatEvent(event); // "2026-01-05T10:00:00.123Z  vm-1-gateway  Promoted  stock  term 4  Promoted stock-2."
 */
export function formatEvent(event: TimelineEvent): string {
    const time = new Date(event.timestamp.wallMilliseconds).toISOString();
    const subjects = [
        event.database,
        event.endpoint,
        event.term === undefined ? undefined : `term ${event.term}`,
        event.version === undefined ? undefined : `version ${event.version}`,
        event.requestId === undefined ? undefined : `request ${event.requestId}`,
    ].filter(subject => subject !== undefined);
    return [time, event.process, event.kind, ...subjects, event.text].join("  ");
}
