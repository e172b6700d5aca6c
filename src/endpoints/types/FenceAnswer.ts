/** Answer of an endpoint to a fence: the end of its log. */
export interface FenceAnswer {
    readonly endpoint: string;
    readonly lastEntryTerm: number;
    readonly position: number;
}
