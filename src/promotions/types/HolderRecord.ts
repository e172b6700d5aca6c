/** A record in the platform's store for the next holder of the failover duty. */
export interface HolderRecord {
    /** Records that the content has changed; the next synchronization writes it. */
    markChanged(): void;
    /** Reads and writes the record if that is due; a failure is logged, and a later call attempts it again. */
    synchronize(): Promise<void>;
    /** Whether the record was read since this VM has held the duty. */
    isLoaded(): boolean;
}
