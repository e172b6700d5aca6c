import type { HybridTimestamp } from "./HybridTimestamp.js";
import type { TimelineEvent } from "./TimelineEvent.js";

/** The events of this process, in a bounded ring. */
export interface EventRecorder {
    record(event: Omit<TimelineEvent, "timestamp" | "process" | "sequence">): void;
    /** Events with a sequence above `afterSequence`, oldest first. */
    list(afterSequence: number): readonly TimelineEvent[];
    onEvent(listener: (event: TimelineEvent) => void): () => void;
    /** The clock reading to put on an outgoing message. */
    stamp(): HybridTimestamp;
    /** Takes in the clock reading of an incoming message. */
    observe(timestamp: HybridTimestamp): void;
}
