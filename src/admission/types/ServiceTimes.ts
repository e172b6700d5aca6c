/** Moving means of the time for which statements hold their slots. */
export interface ServiceTimes {
    record(caller: string, milliseconds: number): void;
    /** Mean over all callers in milliseconds; 0 before the first measurement. */
    mean(): number;
    /** Mean of the caller divided by the mean of all callers, clamped to the bounds of a cost. */
    relativeCost(caller: string): number;
}
