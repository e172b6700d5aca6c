import { placementConstants } from "../constants.js";

/**
 * Computes how many connections to one endpoint a VM may hold.
 *
 * A part of the endpoint's limit stays free: after a power loss of VMs, the endpoint keeps their connections open for
 * seconds, while the restarted VMs need new ones. Where there are workspaces, a connection serves one of them alone, so
 * that more connections are of use: the part that stays free is smaller, and a VM may hold any number.
 *
 * @param connectionLimit Connections that the endpoint accepts from all VMs together.
 * @param vmCount Number of VMs that share them.
 * @param hasWorkspaces Whether connections are opened in the names of workspaces.
 * @returns Number of connections of one VM, at least 1.
 *
 * @example
 * computeVmConnectionLimit(43, 8, false); // => 3
 */
export function computeVmConnectionLimit(connectionLimit: number, vmCount: number, hasWorkspaces = false): number {
    const {
        workspaceConnectionShare,
        connectionShare,
        maximumConnectionShare,
        minimumConnections,
        maximumConnections,
    } = placementConstants;
    const shareOf = (share: number): number => Math.floor(connectionLimit * share / Math.max(vmCount, 1));
    const minimum = Math.min(minimumConnections, shareOf(maximumConnectionShare));
    if (hasWorkspaces) {
        return Math.max(shareOf(workspaceConnectionShare), minimum, 1);
    }
    return Math.min(Math.max(shareOf(connectionShare), minimum, 1), maximumConnections);
}
