/** One of tarragonpost's own objects in the platform's store. */
export interface VersionedRecord {
    /** Changes with each update; required by a conditional update. */
    readonly revision: number;
    readonly content: unknown;
}
