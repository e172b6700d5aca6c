import type { Primaries } from "../../primaries/types/Primaries.js";
import type { Announcement } from "../types/Announcement.js";
import { AnnouncementPhase } from "../types/AnnouncementPhase.js";

/** Applies an announcement of one phase to a VM's known primaries. */
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
 * Applies an announcement to a VM's known primaries.
 *
 * @param primaries The known primaries.
 * @param announcement The announcement of the holder of the failover duty.
 *
 * @example
 * applyAnnouncement(primaries, announcement);
 */
export function applyAnnouncement(primaries: Primaries, announcement: Announcement): void {
    handlers[announcement.phase](primaries, announcement);
}
