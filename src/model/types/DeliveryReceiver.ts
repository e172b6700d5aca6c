/** Announcements that a VM has received. */
export interface DeliveryReceiver {
    /** Newest one of the group with the write; 0 when none. */
    readonly received: number;
    /** Highest one of any group, received in any way. */
    readonly highest: number;
    /** Up to this one, the newest announcement of each group was received with answers to renewals. */
    readonly complete: number;
}
