/** A number that a holder of the failover duty assigned; those of a holder with a higher token are higher. */
export interface HolderNumber {
    /** Fencing token of the holder; 0 before any. */
    readonly token: number;
    /** Counts what the holder numbered. */
    readonly count: number;
}
