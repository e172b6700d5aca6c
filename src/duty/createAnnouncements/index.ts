import { dutyConstants } from "../constants.js";
import type { Announcement } from "../types/Announcement.js";

/** The announcements known to a VM. */
interface Announcements {
    /** A new token's numbers begin. */
    startToken(token: number): void;
    /** Numbers an announcement of this VM's own, and learns it. */
    create(announcement: Omit<Announcement, "sequence">): Announcement;
    /** Takes in an announcement, unless a newer one of its group is known. */
    learn(announcement: Announcement): void;
    /** Highest number known. */
    latest(): number;
    /** The newest announcement of each group, of those with higher numbers. */
    after(sequence: number): readonly Announcement[];
}

/**
 * Creates a VM's announcements: the newest of each group.
 *
 * @param onNew Told of each announcement that is new.
 * @returns The announcements, none known.
 *
 * @example
 * announcements.learn({ sequence: 1_000_001, group: "orders", phase: AnnouncementPhase.Begun, term: 4 });
 */
export function createAnnouncements(onNew: (announcement: Announcement) => void): Announcements {
    const newest = new Map<string, Announcement>();
    let latest = 0;
    let nextOwn = 0;

    function learn(announcement: Announcement): void {
        if (announcement.sequence <= (newest.get(announcement.group)?.sequence ?? 0)) {
            return;
        }
        newest.set(announcement.group, announcement);
        latest = Math.max(latest, announcement.sequence);
        onNew(announcement);
    }

    return {
        startToken: token => {
            nextOwn = token * dutyConstants.announcementsPerToken;
        },
        create: announcement => {
            nextOwn += 1;
            const numbered = { ...announcement, sequence: nextOwn };
            learn(numbered);
            return numbered;
        },
        learn,
        latest: () => latest,
        after: sequence => [...newest.values()].filter(announcement => announcement.sequence > sequence),
    };
}
