import { placementConstants } from "../constants.js";

/**
 * Works out how many connections to one endpoint a VM may hold.
 *
 * A part of the endpoint's limit stays free: connections of VMs that lost power stay open at the endpoint for seconds,
 * and the VMs need new ones when they are back.
 *
 * @param connectionLimit Connections that the endpoint accepts from all VMs together.
 * @param vmCount VMs that share them.
 * @returns Connections of one VM, at least 1.
 *
 * @example
 * shareConnections(43, 8); // => 3
 */
export function shareConnections(connectionLimit: number, vmCount: number): number {
    const { connectionShare, greatestConnectionShare, leastConnections, greatestConnections } = placementConstants;
    const shareOf = (part: number): number => Math.floor(connectionLimit * part / Math.max(vmCount, 1));
    const least = Math.min(leastConnections, shareOf(greatestConnectionShare));
    return Math.min(Math.max(shareOf(connectionShare), least, 1), greatestConnections);
}
