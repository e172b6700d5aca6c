/** Constants of the view of the fleet. */
export const topologyConstants = {
    resubscribeMilliseconds: 100,
} as const;
