/** An event that is due. */
interface DueEvent {
    readonly at: number;
    readonly run: () => void;
}

/** Time that only runs from event to event, without waiting for promises. */
interface EventTime {
    now(): number;
    /** Runs the function after so many milliseconds; returns the function that cancels it. */
    schedule(milliseconds: number, run: () => void): () => void;
    /** Runs all events that are due within so many milliseconds. */
    advance(milliseconds: number): void;
}

/**
 * Creates a time for tests whose subjects act without promises, which makes long runs short.
 *
 * @returns The time, at 0.
 *
 * @example
 * time.schedule(300, sendRenewal);
 * time.advance(1_000);
 */
export function createEventTime(): EventTime {
    /** In descending order of time; of equal times, the first scheduled comes last. */
    const events: DueEvent[] = [];
    let time = 0;

    function schedule(milliseconds: number, run: () => void): () => void {
        const event = { at: time + Math.max(0, milliseconds), run };
        events.splice(findIndex(event.at), 0, event);
        return () => {
            const index = events.indexOf(event);
            events.splice(index, index < 0 ? 0 : 1);
        };
    }

    function findIndex(at: number): number {
        let low = 0;
        let high = events.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (events[middle]!.at > at) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    function advance(milliseconds: number): void {
        const endsAt = time + milliseconds;
        while (events.length > 0 && events.at(-1)!.at <= endsAt) {
            const { at, run } = events.pop()!;
            time = at;
            run();
        }
        time = endsAt;
    }

    return { now: () => time, schedule, advance };
}
