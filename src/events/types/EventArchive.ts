import type { EventFilter } from "./EventFilter.js";
import type { TimelineEvent } from "./TimelineEvent.js";

/** The events that a gateway serves: its own, and those of the entries that push their events to it. */
export interface EventArchive {
    /** Lists the latest matching events, in order of their timestamps. */
    list(filter: EventFilter): readonly TimelineEvent[];
    /** Calls the listener at each new event; returns a function that removes the listener. */
    onEvent(listener: (event: TimelineEvent) => void): () => void;
    /**
     * Records events above `afterSequence` that another process pushed; returns the highest recorded sequence of that
     * process.
     *
     * Records nothing while earlier events are missing; the process then pushes again from the returned sequence on.
     */
    recordPushed(process: string, afterSequence: number, events: readonly TimelineEvent[]): number;
}
