/** What a search of the model of the settlement covers. */
export interface SettlementScope {
    /** Number of changes of the primary. */
    readonly changes: number;
    /** Whether the record of the second endpoint may vanish from the holder's directory. */
    readonly mayLoseRecord: boolean;
}
