import { rankByWeightedRendezvous } from "../../ownership/rankByWeightedRendezvous/index.js";
import { forwardingConstants } from "../constants.js";
import { listHostPools } from "../listHostPools/index.js";
import type { CandidateVm } from "../types/CandidateVm.js";
import type { HostPool } from "../types/HostPool.js";

/**
 * Chooses the VMs that hold connections to the endpoints of each group: a few of each large zone, all of a small one.
 *
 * Endpoints accept too few connections for one from each of many VMs, and most of these connections would be idle.
 * Within the pool of a zone's hosts the groups are spread by capacity. Every VM computes the same result from the same
 * lists, and a VM that starts or stops moves few groups.
 *
 * @param groups The groups of endpoints, in any order.
 * @param vms The VMs that are alive, in any order.
 * @returns The names of the VMs chosen for each group, of all zones.
 *
 * @example
 * const names = chooseHosts(directory.groups(), [self, ...duty.otherVms()]).get("orders");
 */
export function chooseHosts(
    groups: readonly string[],
    vms: readonly CandidateVm[],
): ReadonlyMap<string, ReadonlySet<string>> {
    const sortedGroups = [...groups].sort();
    const chosen = new Map(sortedGroups.map(group => [group, new Set<string>()]));
    for (const pool of listHostPools(vms).values()) {
        for (const [group, hosts] of assignGroups(sortedGroups, pool)) {
            hosts.forEach(name => chosen.get(group)!.add(name));
        }
    }
    return chosen;
}

function* assignGroups(
    groups: readonly string[],
    { vms, isWholeZone }: HostPool<CandidateVm>,
): Generator<readonly [string, readonly string[]]> {
    const { hostsPerZone, maximumLoadFactor } = forwardingConstants;
    if (isWholeZone) {
        const names = vms.map(({ name }) => name);
        yield* groups.map(group => [group, names] as const);
        return;
    }
    const poolCapacity = vms.reduce((sum, { capacity }) => sum + capacity, 0);
    const maximumLoads = new Map(vms.map(({ name, capacity }) => [
        name,
        Math.ceil(maximumLoadFactor * groups.length * hostsPerZone * capacity / poolCapacity),
    ]));
    const weights = new Map(vms.map(({ name, capacity }) => [name, capacity]));
    const loads = new Map<string, number>();
    for (const group of groups) {
        const ranked = rankByWeightedRendezvous(group, weights);
        const hasRoom = (name: string): boolean => (loads.get(name) ?? 0) < maximumLoads.get(name)!;
        const hosts = [...ranked.filter(hasRoom), ...ranked.filter(name => !hasRoom(name))].slice(0, hostsPerZone);
        hosts.forEach(name => loads.set(name, (loads.get(name) ?? 0) + 1));
        yield [group, hosts];
    }
}
