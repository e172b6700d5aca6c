/** What a search of the model of terms covers. */
export interface TermScope {
    /** Number of changes of the primary. */
    readonly changes: number;
    /** Whether the record of the first successor may vanish from the VM's directory. */
    readonly mayLoseRecord: boolean;
    /** Term in force at the beginning; the holder may know a lower one. */
    readonly firstTerm: number;
}
