import type { LogTopic } from "../../logging/types/LogTopic.js";
import { chooseHigherNumber } from "../chooseHigherNumber/index.js";
import { compareHolderNumbers } from "../compareHolderNumbers/index.js";
import { dutyConstants } from "../constants.js";
import type { Announcement } from "../types/Announcement.js";
import type { HolderNumber } from "../types/HolderNumber.js";

/** Newest announcement of each group known to a VM. */
interface Announcements {
    /** Starts the sequence numbers of this VM as the holder with this token. */
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
    completeSequence(): HolderNumber;
    /** Lists the newest announcement of each group, if its sequence number is higher than the given one. */
    listAfter(sequence: HolderNumber): readonly Announcement[];
}

/**
 * Creates the store of announcements of a VM, which keeps the newest one of each group.
 *
 * @param onNew Called with each new announcement.
 * @param log Receives a line for each announcement that is applied or ignored.
 * @returns The announcements; none is known yet.
 *
 * @example
 * announcements.apply({ sequence: { token: 1, count: 1 }, group: "orders", phase: AnnouncementPhase.Begun, term: 4 });
 */
export function createAnnouncements(onNew: (announcement: Announcement) => void, log: LogTopic): Announcements {
    const newest = new Map<string, Announcement>();
    let latestSequence: HolderNumber = dutyConstants.noHolderNumber;
    let completeSequence: HolderNumber = dutyConstants.noHolderNumber;
    let lastOwnSequence: HolderNumber = dutyConstants.noHolderNumber;

    function apply(announcement: Announcement): void {
        const { sequence, group, phase, term, endpointId } = announcement;
        const knownSequence = newest.get(group)?.sequence ?? dutyConstants.noHolderNumber;
        const order = compareHolderNumbers(sequence, knownSequence);
        if (order < 0) {
            log("older announcement ignored", { group, phase, sequence, knownSequence });
        }
        if (order <= 0) {
            return;
        }
        log("announcement applied", { group, phase, sequence, latestSequence, term, endpoint: endpointId });
        newest.set(announcement.group, announcement);
        latestSequence = chooseHigherNumber(latestSequence, sequence);
        onNew(announcement);
    }

    return {
        startToken: token => {
            lastOwnSequence = { token, count: 0 };
        },
        create: announcement => {
            lastOwnSequence = { ...lastOwnSequence, count: lastOwnSequence.count + 1 };
            const numbered = { ...announcement, sequence: lastOwnSequence };
            apply(numbered);
            return numbered;
        },
        apply,
        applyAnswer: answered => {
            answered.forEach(apply);
            completeSequence = answered.map(({ sequence }) => sequence).reduce(chooseHigherNumber, completeSequence);
        },
        completeSequence: () => completeSequence,
        listAfter: sequence =>
            [...newest.values()].filter(announcement => compareHolderNumbers(announcement.sequence, sequence) > 0),
    };
}
