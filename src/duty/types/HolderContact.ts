/** How long ago this VM was in contact with the holder of the failover duty, by itself or through a relay. */
export interface HolderContact {
    /**
     * Records contact: the other VM reported the age of its own contact, in milliseconds, when it answered a call since
     * which the function returns the time. Without an age nothing is recorded.
     */
    record(ageMilliseconds: number | undefined, sinceCall: () => number): void;
    /** Time since the last contact, in milliseconds; undefined before the first. */
    ageMilliseconds(): number | undefined;
}
