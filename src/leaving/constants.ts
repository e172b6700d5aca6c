/** Constants of the watch on leaving endpoints. */
export const leavingConstants = {
    checkIntervalMilliseconds: 200,
} as const;
