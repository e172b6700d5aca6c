/** Constants of the kernel. */
export const kernelConstants = {
    /** A stop waits this long for a service whose start is under way. */
    startTimeoutMilliseconds: 1_000,
} as const;
