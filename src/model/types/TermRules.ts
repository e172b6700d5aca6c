/** Rules of the terms of a change of the primary; a search may leave one out. */
export interface TermRules {
    /** The end of a change is announced with the term that the promoted endpoint reports. */
    readonly announcesReportedTerm: boolean;
    /** An order to step down carries a term above the one that the endpoint reports. */
    readonly stepsDownAboveReportedTerm: boolean;
    /** A lease vouches for no primary whose term is below the highest one that the VM has observed. */
    readonly comparesTermUnderLease: boolean;
    /** A lease vouches for no primary after an announced end whose term is below the highest observed one. */
    readonly distrustsOlderEnd: boolean;
    /** An endpoint that is queried for the role also reports its term, and a higher one counts as the primary's. */
    readonly comparesTermsOfQueried: boolean;
}
