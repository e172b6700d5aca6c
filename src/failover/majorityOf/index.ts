/**
 * Returns the number of endpoints that make up a majority of a group.
 *
 * @param endpointCount Number of endpoints of the group.
 * @returns The smallest number at which any two subsets of the group share an endpoint.
 *
 * @example
 * majorityOf(3); // 2
 */
export function majorityOf(endpointCount: number): number {
    return Math.floor(endpointCount / 2) + 1;
}
