/** Removal of an endpoint's record from the store. */
export interface RecordRemoval {
    /** The endpoint's id. */
    readonly id: string;
    /** Revision of the store at which the record was missing. */
    readonly revision: number;
}
