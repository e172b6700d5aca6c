/** How long statements held their slots of late. */
export interface ServiceTimes {
    add(caller: string, milliseconds: number): void;
    /** Mean over all callers in milliseconds; 0 while nothing was measured. */
    mean(): number;
    /** Mean of the caller divided by the mean of all, within the bounds of a cost. */
    relativeCost(caller: string): number;
}
