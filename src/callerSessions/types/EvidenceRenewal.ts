/** Renews the evidence of the primaries' log positions. */
export interface EvidenceRenewal {
    /** Queries the group's primary now; resolves when the query has ended, also when it failed. */
    renew(group: string): Promise<void>;
    /** Queries the primary in the background when the newest evidence is getting too old for a staleness bound. */
    renewIfOld(group: string, stalenessMilliseconds: number): void;
}
