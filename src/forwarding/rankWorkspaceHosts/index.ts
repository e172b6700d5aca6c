import { rankByWeightedRendezvous } from "../../ownership/rankByWeightedRendezvous/index.js";
import type { CandidateVm } from "../types/CandidateVm.js";

/**
 * Ranks the hosts of a group for the sessions of one workspace.
 *
 * Every VM computes the same order from the same hosts, and a host is ranked first for a share of the workspaces that is
 * proportional to its capacity. When a host is lost, only the workspaces that it was ranked first for move.
 *
 * @param group The group of endpoints.
 * @param workspace Name of the workspace.
 * @param hosts The hosts of the group among which one is chosen, in any order.
 * @returns The names of the hosts, best first.
 *
 * @example
 * const [name] = rankWorkspaceHosts("orders", "museum-shops", hostsOfRegion);
 */
export function rankWorkspaceHosts(
    group: string,
    workspace: string,
    hosts: readonly Pick<CandidateVm, "name" | "capacity">[],
): readonly string[] {
    const weights = new Map(hosts.map(({ name, capacity }) => [name, capacity]));
    return rankByWeightedRendezvous(JSON.stringify([group, workspace]), weights);
}
