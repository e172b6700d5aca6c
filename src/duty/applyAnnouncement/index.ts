import type { Primaries } from "../../primaries/types/Primaries.js";
import type { Announcement } from "../types/Announcement.js";
import { AnnouncementPhase } from "../types/AnnouncementPhase.js";

/** Takes an announcement of one phase into a VM's belief. */
type PhaseHandler = (primaries: Primaries, announcement: Announcement) => void;

const handlers: Readonly<Record<AnnouncementPhase, PhaseHandler>> = {
    [AnnouncementPhase.Begun]: (primaries, { group, term }) => primaries.beginChange(group, term),
    [AnnouncementPhase.Finished]: (primaries, { group, term, endpointId }) => {
        if (endpointId !== undefined) {
            primaries.finishChange(group, endpointId, term);
        }
    },
    [AnnouncementPhase.Cancelled]: (primaries, { group }) => primaries.cancelChange(group),
};

/**
 * Takes an announcement into a VM's belief about the primaries.
 *
 * @param primaries The belief.
 * @param announcement What the holder of the failover duty tells.
 *
 * @example
 * applyAnnouncement(primaries, announcement);
 */
export function applyAnnouncement(primaries: Primaries, announcement: Announcement): void {
    handlers[announcement.phase](primaries, announcement);
}
