import { placementConstants } from "../constants.js";

/**
 * Computes how many connections to one endpoint a VM may hold.
 *
 * A part of the endpoint's limit stays free: after a power loss of VMs, the endpoint keeps their connections open for
 * seconds, while the restarted VMs need new ones.
 *
 * @param connectionLimit Connections that the endpoint accepts from all VMs together.
 * @param vmCount Number of VMs that share them.
 * @returns Number of connections of one VM, at least 1.
 *
 * @example
 * computeVmConnectionLimit(43, 8); // => 3
 */
export function computeVmConnectionLimit(connectionLimit: number, vmCount: number): number {
    const {
        connectionShare,
        maximumConnectionShare,
        minimumConnections,
        maximumConnections,
    } = placementConstants;
    const shareOf = (share: number): number => Math.floor(connectionLimit * share / Math.max(vmCount, 1));
    const minimum = Math.min(minimumConnections, shareOf(maximumConnectionShare));
    return Math.min(Math.max(shareOf(connectionShare), minimum, 1), maximumConnections);
}
