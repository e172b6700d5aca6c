/** Terms reserved in the platform's store; no two processes ever hold the same term of a database. */
export interface TermReservation {
    /**
     * Reserves terms for the database unless enough above `above` are held.
     *
     * Fails with `PlatformUnavailable` or `Conflict` when the store is not updated in time; terms held before
     * stay usable.
     */
    reserve(database: string, above: number): Promise<void>;
    /** Allocates the lowest held term above `above` for good; undefined when none is held. Does not use the store. */
    allocate(database: string, above: number): number | undefined;
    /** Number of held terms above `above`. */
    count(database: string, above: number): number;
    /** Stops holding all terms of the database and returns them, so that another process can use them. */
    relinquish(database: string): readonly number[];
    /** Adds terms that another process relinquished. */
    accept(database: string, terms: readonly number[]): void;
}
