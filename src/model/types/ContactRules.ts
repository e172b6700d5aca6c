/** Rules of a holder that counts contact with all VMs as proof that none replaced it; a search may leave one out. */
export interface ContactRules {
    /** Contact counts only once the list of VMs is complete. */
    readonly requiresCompleteList: boolean;
    /** Contact counts for a bounded time after the last verification; a VM that may not be listed waits for its end. */
    readonly boundsContact: boolean;
}
