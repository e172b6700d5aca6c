/** What happened to one operation. */
export interface LoadOutcome {
    readonly startedAt: number;
    /** Whether it was served within the target latency, and whether it was served at all. */
    readonly isInTime: boolean;
    readonly isServed: boolean;
    /** Longest time from an attempt to its refusal, in milliseconds; 0 without any refusal. */
    readonly longestRefusalMilliseconds: number;
    readonly refusalCount: number;
}
