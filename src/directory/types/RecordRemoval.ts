/** That an endpoint's record was missing from the store. */
export interface RecordRemoval {
    /** The endpoint's id. */
    readonly id: string;
    /** Revision of the store at which it was missing. */
    readonly revision: number;
}
