/** The rules by which a primary is changed; a search may leave one out. */
export interface ChangeRules {
    /** A VM that did not confirm the announcement is waited for until its lease has ended. */
    readonly waitsForLeases: boolean;
    /** A VM with a lease drops its belief when it hears the announcement. */
    readonly obeysAnnouncement: boolean;
    /** A VM judges the primary once more when the answer has come. */
    readonly checksAfterAnswer: boolean;
    /** A VM without a lease asks the other endpoint before it relies on the primary. */
    readonly confirmsWithoutLease: boolean;
    /** The question to the other endpoint is asked after the answer has come, not before. */
    readonly confirmsAfterAnswer: boolean;
    /** A new holder takes leases of the one before into account. */
    readonly countsFormerLeases: boolean;
}
