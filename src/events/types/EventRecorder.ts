import type { HybridTimestamp } from "./HybridTimestamp.js";
import type { TimelineEvent } from "./TimelineEvent.js";

/** Records the events of this process in a bounded ring buffer. */
export interface EventRecorder {
    record(event: Omit<TimelineEvent, "timestamp" | "process" | "sequence">): void;
    /** Events with a sequence above `afterSequence`, oldest first. */
    list(afterSequence: number): readonly TimelineEvent[];
    /** Calls the listener at each recorded event; returns a function that removes the listener. */
    onEvent(listener: (event: TimelineEvent) => void): () => void;
    /** Advances the hybrid logical clock and returns the timestamp for an outgoing message. */
    stamp(): HybridTimestamp;
    /** Advances the hybrid logical clock past the timestamp of an incoming message. */
    observe(timestamp: HybridTimestamp): void;
}
