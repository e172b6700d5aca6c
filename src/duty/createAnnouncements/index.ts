import type { LogTopic } from "../../logging/types/LogTopic.js";
import { dutyConstants } from "../constants.js";
import type { Announcement } from "../types/Announcement.js";

/** Newest announcement of each group known to a VM. */
interface Announcements {
    /** Starts the range of sequence numbers that belongs to a new token. */
    startToken(token: number): void;
    /** Assigns the next sequence number to an announcement of this VM, and applies it. */
    create(announcement: Omit<Announcement, "sequence">): Announcement;
    /** Applies an announcement, unless a newer one of its group is known. */
    apply(announcement: Announcement): void;
    /** Applies the announcements in the answer to a renewal: all that the answering VM has after `completeSequence`. */
    applyAnswer(answered: readonly Announcement[]): void;
    /**
     * Sequence number up to which this VM has the newest announcement of each group. An announcement that reached it
     * outside a renewal does not count, because an earlier one of another group may have been lost.
     */
    completeSequence(): number;
    /** Lists the newest announcement of each group, if its sequence number is higher than the given one. */
    listAfter(sequence: number): readonly Announcement[];
}

/**
 * Creates the store of announcements of a VM, which keeps the newest one of each group.
 *
 * @param onNew Called with each new announcement.
 * @param log Receives a line for each announcement that is applied or ignored.
 * @returns The announcements; none is known yet.
 *
 * @example
 * announcements.apply({ sequence: 1_000_001, group: "orders", phase: AnnouncementPhase.Begun, term: 4 });
 */
export function createAnnouncements(onNew: (announcement: Announcement) => void, log: LogTopic): Announcements {
    const newest = new Map<string, Announcement>();
    let latestSequence = 0;
    let completeSequence = 0;
    let lastOwnSequence = 0;

    function apply(announcement: Announcement): void {
        const { sequence, group, phase, term, endpointId } = announcement;
        const knownSequence = newest.get(group)?.sequence ?? 0;
        if (sequence < knownSequence) {
            log("older announcement ignored", { group, phase, sequence, knownSequence });
        }
        if (sequence <= knownSequence) {
            return;
        }
        log("announcement applied", { group, phase, sequence, latestSequence, term, endpoint: endpointId });
        newest.set(announcement.group, announcement);
        latestSequence = Math.max(latestSequence, announcement.sequence);
        onNew(announcement);
    }

    return {
        startToken: token => {
            lastOwnSequence = token * dutyConstants.announcementsPerToken;
        },
        create: announcement => {
            lastOwnSequence += 1;
            const numbered = { ...announcement, sequence: lastOwnSequence };
            apply(numbered);
            return numbered;
        },
        apply,
        applyAnswer: answered => {
            answered.forEach(apply);
            completeSequence = Math.max(completeSequence, ...answered.map(({ sequence }) => sequence));
        },
        completeSequence: () => completeSequence,
        listAfter: sequence => [...newest.values()].filter(announcement => announcement.sequence > sequence),
    };
}
