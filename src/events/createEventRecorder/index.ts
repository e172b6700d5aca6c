import type { Clock } from "../../clock/types/Clock.js";
import { eventConstants } from "../constants.js";
import type { EventRecorder } from "../types/EventRecorder.js";
import type { HybridTimestamp } from "../types/HybridTimestamp.js";
import type { TimelineEvent } from "../types/TimelineEvent.js";

/**
 * Creates the event recorder of one process: a bounded ring buffer of events with hybrid logical timestamps.
 *
 * @param processName Name of the process, shown with each event.
 * @param clock Source of wall time.
 * @returns The recorder.
 *
 * @example
 * events.record({ kind: EventKind.Promoted, database: "stock", term: 4, text: "Promoted stock-2." });
 */
export function createEventRecorder(processName: string, clock: Clock): EventRecorder {
    const ring: TimelineEvent[] = [];
    const listeners = new Set<(event: TimelineEvent) => void>();
    let sequence = 0;
    let wallMilliseconds = 0;
    let counter = 0;

    function advance(observed: HybridTimestamp): void {
        const wall = Math.max(Math.floor(clock.wallTime()), wallMilliseconds, observed.wallMilliseconds);
        const localCounter = wall === wallMilliseconds ? counter : -1;
        const observedCounter = wall === observed.wallMilliseconds ? observed.counter : -1;
        wallMilliseconds = wall;
        counter = Math.max(localCounter, observedCounter) + 1;
    }

    function stamp(): HybridTimestamp {
        advance({ wallMilliseconds: 0, counter: 0 });
        return { wallMilliseconds, counter };
    }

    function observe(timestamp: HybridTimestamp): void {
        const limit = clock.wallTime() + eventConstants.maximumClockDriftMilliseconds;
        const isWellFormed = Number.isInteger(timestamp?.wallMilliseconds) && Number.isInteger(timestamp.counter);
        if (isWellFormed && timestamp.wallMilliseconds <= limit) {
            advance(timestamp);
        }
    }

    function record(event: Omit<TimelineEvent, "timestamp" | "process" | "sequence">): void {
        sequence += 1;
        const recorded: TimelineEvent = { timestamp: stamp(), process: processName, sequence, ...event };
        ring.push(recorded);
        if (ring.length > eventConstants.ringLength) {
            ring.shift();
        }
        for (const listener of listeners) {
            listener(recorded);
        }
    }

    function onEvent(listener: (event: TimelineEvent) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    return {
        record,
        list: afterSequence => ring.filter(event => event.sequence > afterSequence),
        onEvent,
        stamp,
        observe,
    };
}
