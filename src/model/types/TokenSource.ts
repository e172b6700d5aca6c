/** What a holder takes its fencing token from. */
export enum TokenSource {
    /** A number in the record, one higher than in the record that it replaced. */
    RecordNumber = "RecordNumber",
    /** The revision of the record. */
    Revision = "Revision",
    /** The era of the store and the revision of the record. */
    Version = "Version",
}
