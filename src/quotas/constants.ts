/** Constants of quotas. */
export const quotaConstants = {
    /** Length of the window in which the excess over a quota is bounded, unless set otherwise, in milliseconds. */
    defaultWindowMilliseconds: 5_000,
    /** Share of what a quota admits in a window that may be admitted beyond it, unless set otherwise. */
    defaultExcessShare: 0.1,
    /** Operations that may be admitted in a window beyond the quota and the share, unless set otherwise. */
    defaultExcessOperations: 20,
    /** Longest time for which an operation waits for its quota, in milliseconds. */
    maximumWaitMilliseconds: 450,
    /** Operations of one workspace that wait for its quota at one VM at most. */
    maximumWaiting: 200,
    /** Workspaces for which one VM asks at most in one renewal. */
    maximumDemands: 200,
} as const;
