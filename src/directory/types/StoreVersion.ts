/**
 * A moment in the history of the platform's store.
 *
 * A store that is restored from a copy begins a new era, in which it assigns revisions of the previous era again.
 */
export interface StoreVersion {
    /** Rises each time the store is restored from a copy. */
    readonly era: number;
    /** Rises with each change of the store during an era. */
    readonly revision: number;
}
