/** What a fenced endpoint holds. */
export interface FenceAnswer {
    readonly endpoint: string;
    readonly lastEntryTerm: number;
    readonly position: number;
}
