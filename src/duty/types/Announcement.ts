import type { AnnouncementPhase } from "./AnnouncementPhase.js";
import type { HolderNumber } from "./HolderNumber.js";

/** Message from the holder to all VMs about the primary of a group. */
export interface Announcement {
    /** Grows with each announcement, across all holders. */
    readonly sequence: HolderNumber;
    readonly group: string;
    readonly phase: AnnouncementPhase;
    /** Term in which the change results. */
    readonly term: number;
    /** The new primary, when the change is finished. */
    readonly endpointId?: string;
}
