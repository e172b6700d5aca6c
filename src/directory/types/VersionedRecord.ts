/** An object of our own in the platform's store. */
export interface VersionedRecord {
    /** Changes with each update; given back in a conditional update. */
    readonly revision: number;
    readonly content: unknown;
}
