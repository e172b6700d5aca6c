/** Renews the evidence about the primaries' positions. */
export interface EvidenceRenewal {
    /** Asks the group's primary now; resolves when it answered or could not be asked. */
    renew(group: string): Promise<void>;
    /** Asks in the background when the newest evidence grows old for reads with that bound. */
    renewIfOld(group: string, stalenessMilliseconds: number): void;
}
