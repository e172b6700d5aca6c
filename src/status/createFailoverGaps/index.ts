import type { Clock } from "../../clock/types/Clock.js";
import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { StatusProvider } from "../types/StatusProvider.js";

/**
 * Creates the status provider of failovers in progress, from the events of this process.
 *
 * @param events The event recorder of this process.
 * @param clock Source of monotonic time.
 * @returns A provider that lists each failover that has started and not ended, with the time since its startedAt.
 *
 * @example
 * const providers = [createFailoverGaps(events, clock)];
 */
export function createFailoverGaps(events: EventRecorder, clock: Clock): StatusProvider {
    const startedAtByDatabase = new Map<string, number>();
    events.onEvent(({ kind, database }) => {
        if (database !== undefined && kind === EventKind.FailoverStarted) {
            startedAtByDatabase.set(database, startedAtByDatabase.get(database) ?? clock.now());
        }
        if (database !== undefined && kind === EventKind.FailoverEnded) {
            startedAtByDatabase.delete(database);
        }
    });
    return () => ({
        failoverGaps: [...startedAtByDatabase].map(([database, startedAt]) => ({
            database,
            milliseconds: Math.round(clock.now() - startedAt),
        })),
    });
}
