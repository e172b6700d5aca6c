/** Rules of the choice between logs of different terms; a search may leave one out. */
export interface LogTermRules {
    /** No log of an earlier branch than the known one is promoted while an endpoint of that one may answer. */
    readonly waitsForNewestBranch: boolean;
    /** Of the earlier term, only entries count that the announced primary has, as long as it has none of its own term. */
    readonly comparesBranches: boolean;
    /** The announced term counts although the announced primary has not answered. */
    readonly countsAnnouncedTerm: boolean;
    /** A new holder knows the announced primary. */
    readonly learnsAnnouncement: boolean;
    /** Once no endpoint of the newest branch may answer any more, the wait ends. */
    readonly endsWait: boolean;
}
