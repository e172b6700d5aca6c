import type { GroupRecord } from "./GroupRecord.js";

/** The known current term of each group. */
export interface GroupTable {
    groupOf(database: string): GroupRecord | undefined;
    list(): readonly GroupRecord[];
    /** Applies a record unless the same or a higher term is known; returns whether the record was applied. */
    applyGroupRecord(record: GroupRecord): boolean;
    /** Calls the listener with the database after each change; returns a function that ends the subscription. */
    onChange(listener: (database: string) => void): () => void;
    /** Resolves with the record once its term is at least `term`, or undefined at the time limit or the abort. */
    waitForTerm(
        database: string,
        term: number,
        timeoutMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<GroupRecord | undefined>;
}
