/** Terms reserved in the platform's store; no two processes ever hold the same term of a database. */
export interface TermReservation {
    /**
     * Reserves terms for the database unless enough above `above` are held.
     *
     * Fails with `PlatformUnavailable` or `Conflict` when the store can't be brought to it in time; terms held before
     * stay usable.
     */
    reserve(database: string, above: number): Promise<void>;
    /** Takes the lowest held term above `above` for good; undefined when none is held. Needs no store. */
    take(database: string, above: number): number | undefined;
    /** How many held terms are above `above`. */
    count(database: string, above: number): number;
    /** Gives up all held terms of the database, for another process to use. */
    relinquish(database: string): readonly number[];
    /** Takes over terms that another process relinquished. */
    accept(database: string, terms: readonly number[]): void;
}
