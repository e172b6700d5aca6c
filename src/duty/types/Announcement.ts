import type { AnnouncementPhase } from "./AnnouncementPhase.js";

/** What the holder tells all VMs about the primary of a group. */
export interface Announcement {
    /** Grows with each announcement of all holders. */
    readonly sequence: number;
    readonly group: string;
    readonly phase: AnnouncementPhase;
    /** The term that the change leads to. */
    readonly term: number;
    /** The new primary, when the change is finished. */
    readonly endpointId?: string;
}
