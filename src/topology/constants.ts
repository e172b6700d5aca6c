/** Constants of the view of the fleet. */
export const topologyConstants = {
    resubscribeDelayMilliseconds: 100,
} as const;
