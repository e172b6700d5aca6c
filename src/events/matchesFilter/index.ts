import type { EventFilter } from "../types/EventFilter.js";
import type { TimelineEvent } from "../types/TimelineEvent.js";

/**
 * Checks whether an event is selected by a filter.
 *
 * @param event The event.
 * @param filter The filter; an empty one selects every event.
 * @returns True when each field of the filter equals that of the event.
 *
 * @example
 * events.filter(event => matchesFilter(event, { database: "stock" }));
 */
export function matchesFilter(event: TimelineEvent, filter: EventFilter): boolean {
    return (filter.requestId === undefined || filter.requestId === event.requestId)
        && (filter.database === undefined || filter.database === event.database)
        && (filter.version === undefined || filter.version === event.version);
}
