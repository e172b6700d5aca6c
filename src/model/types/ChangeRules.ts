/** Rules of a change of the primary; a search may leave one out. */
export interface ChangeRules {
    /** The holder waits until the lease of a VM that did not confirm the announcement has expired. */
    readonly waitsForLeases: boolean;
    /** A VM with a lease stops relying on its known primary when it receives the announcement. */
    readonly dropsPrimaryOnAnnouncement: boolean;
    /** A VM checks the primary again after the endpoint's answer. */
    readonly rechecksAfterAnswer: boolean;
    /** A VM without a lease queries the other endpoint before it relies on the primary. */
    readonly verifiesWithoutLease: boolean;
    /** The other endpoint is queried after the answer to the write, not before. */
    readonly verifiesAfterAnswer: boolean;
    /** A new holder takes leases of the previous holder into account. */
    readonly countsFormerLeases: boolean;
    /** A VM that received the announcement relies on no lease until the end of the change, however long it takes. */
    readonly keepsAnnouncementUntilEnd: boolean;
    /** The holder cancels no change whose promotion may have been ordered. */
    readonly cancelsOnlyUnordered: boolean;
}
