import type { EventFilter } from "./EventFilter.js";
import type { TimelineEvent } from "./TimelineEvent.js";

/** The events that a gateway can tell of: its own, and those of the entries that push theirs to it. */
export interface EventArchive {
    /** Matching events in order of their timestamps, limited to the latest. */
    list(filter: EventFilter): readonly TimelineEvent[];
    onEvent(listener: (event: TimelineEvent) => void): () => void;
    /**
     * Takes in events that another process pushed, those above `afterSequence`; returns the highest sequence kept of it.
     *
     * Takes nothing while events before them are missing; the process then pushes from the returned sequence on.
     */
    takeIn(process: string, afterSequence: number, events: readonly TimelineEvent[]): number;
}
