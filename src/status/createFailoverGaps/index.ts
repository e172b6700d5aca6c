import type { Clock } from "../../clock/types/Clock.js";
import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { StatusProvider } from "../types/StatusProvider.js";

/**
 * Creates the provider of running failover gaps, from the events of this process.
 *
 * @param events The time line of this process.
 * @param clock Source of monotonic time.
 * @returns A provider that lists each failover that began and has not ended.
 *
 * @example
 * const providers = [createFailoverGaps(events, clock)];
 */
export function createFailoverGaps(events: EventRecorder, clock: Clock): StatusProvider {
    const startByDatabase = new Map<string, number>();
    events.onEvent(({ kind, database }) => {
        if (database !== undefined && kind === EventKind.FailoverStarted) {
            startByDatabase.set(database, startByDatabase.get(database) ?? clock.now());
        }
        if (database !== undefined && kind === EventKind.FailoverEnded) {
            startByDatabase.delete(database);
        }
    });
    return () => ({
        failoverGaps: [...startByDatabase].map(([database, start]) => ({
            database,
            milliseconds: Math.round(clock.now() - start),
        })),
    });
}
