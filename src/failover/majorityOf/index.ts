/**
 * Tells how many endpoints make up a majority of a group.
 *
 * @param endpoints Number of endpoints of the group.
 * @returns The smallest number of which any two choices share an endpoint.
 *
 * @example
 * majorityOf(3); // 2
 */
export function majorityOf(endpoints: number): number {
    return Math.floor(endpoints / 2) + 1;
}
