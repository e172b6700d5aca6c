/** What a search of the model of the holder's contact covers. */
export interface ContactScope {
    /** Whether a VM may start after the holder's list was found to be complete. */
    readonly mayStartLater: boolean;
    /** Whether a VM may take over long after its wait is over. */
    readonly mayTakeOverLate: boolean;
}
