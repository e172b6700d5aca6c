import type { GroupRecord } from "./GroupRecord.js";

/** What is known of each group's current term. */
export interface GroupTable {
    groupOf(database: string): GroupRecord | undefined;
    list(): readonly GroupRecord[];
    /** Takes in a record unless a term as high is known; returns whether it was new. */
    learn(record: GroupRecord): boolean;
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
