import { compareEvents } from "../compareEvents/index.js";
import { eventConstants } from "../constants.js";
import { matchesFilter } from "../matchesFilter/index.js";
import type { EventArchive } from "../types/EventArchive.js";
import type { EventRecorder } from "../types/EventRecorder.js";
import type { TimelineEvent } from "../types/TimelineEvent.js";

/**
 * Creates the archive of a gateway: its own events, and one bounded ring buffer of pushed events per entry.
 *
 * @param recorder The recorder of the gateway's own events.
 * @returns The archive.
 *
 * @example
 * const archive = createEventArchive(events);
 * archive.list({ database: "stock" });
 */
export function createEventArchive(recorder: EventRecorder): EventArchive {
    const ringByProcess = new Map<string, TimelineEvent[]>();
    const listeners = new Set<(event: TimelineEvent) => void>();
    recorder.onEvent(notify);

    function notify(event: TimelineEvent): void {
        for (const listener of listeners) {
            listener(event);
        }
    }

    function list(filter: Parameters<EventArchive["list"]>[0]): readonly TimelineEvent[] {
        const all = [...recorder.list(0), ...[...ringByProcess.values()].flat()];
        const matching = all.filter(event => matchesFilter(event, filter));
        return matching.sort(compareEvents).slice(-eventConstants.maximumListedEvents);
    }

    function recordPushed(process: string, afterSequence: number, pushed: readonly TimelineEvent[]): number {
        let ring = ringByProcess.get(process) ?? [];
        if (isRestarted(ring, pushed)) {
            ring = [];
        }
        const newest = ring.at(-1)?.sequence ?? 0;
        if (newest < afterSequence) {
            return newest;
        }
        const added = pushed.filter(event => event.sequence > newest);
        ring = [...ring, ...added].slice(-eventConstants.ringLength);
        ringByProcess.delete(process);
        ringByProcess.set(process, ring);
        if (ringByProcess.size > eventConstants.maximumPushingProcesses) {
            const [leastRecent] = ringByProcess.keys();
            ringByProcess.delete(leastRecent as string);
        }
        for (const event of added) {
            recorder.observe(event.timestamp);
            notify(event);
        }
        return ring.at(-1)?.sequence ?? 0;
    }

    return {
        list,
        recordPushed,
        onEvent: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}

/** A restarted process numbers its events from 1 again, with later timestamps. */
function isRestarted(ring: readonly TimelineEvent[], pushed: readonly TimelineEvent[]): boolean {
    const newest = ring.at(-1);
    const first = pushed[0];
    return newest !== undefined && first !== undefined
        && first.sequence <= newest.sequence
        && first.timestamp.wallMilliseconds > newest.timestamp.wallMilliseconds;
}
