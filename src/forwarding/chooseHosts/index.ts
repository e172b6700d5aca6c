import { rankByRendezvous } from "../../ownership/rankByRendezvous/index.js";
import { forwardingConstants } from "../constants.js";

/** A VM among which hosts are chosen. */
interface CandidateVm {
    readonly name: string;
    readonly address: { readonly availabilityZone: string; };
}

/**
 * Chooses the VMs that hold connections to the endpoints of each group: a few of each large zone, all of a small one.
 *
 * Endpoints accept too few connections for one from each of many VMs, and most of these connections would be idle.
 * Within a zone no VM serves a second group before each serves one. Every VM computes the same result from the same
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
    const chosen = new Map(groups.map(group => [group, new Set<string>()]));
    for (const names of listNamesByZone(vms)) {
        for (const [group, hosts] of chooseHostsInZone([...groups].sort(), names)) {
            hosts.forEach(name => chosen.get(group)!.add(name));
        }
    }
    return chosen;
}

function listNamesByZone(vms: readonly CandidateVm[]): Iterable<readonly string[]> {
    const namesByZone = new Map<string, string[]>();
    for (const { name, address: { availabilityZone } } of vms) {
        namesByZone.set(availabilityZone, [...namesByZone.get(availabilityZone) ?? [], name]);
    }
    return namesByZone.values();
}

function* chooseHostsInZone(
    groups: readonly string[],
    names: readonly string[],
): Generator<readonly [string, readonly string[]]> {
    const { hostsPerZone, maximumSmallZoneVms } = forwardingConstants;
    if (names.length <= maximumSmallZoneVms) {
        yield* groups.map(group => [group, names] as const);
        return;
    }
    const maximumLoad = Math.ceil(groups.length * hostsPerZone / names.length);
    const loads = new Map<string, number>();
    for (const group of groups) {
        const hosts = rankByRendezvous(group, names)
            .filter(name => (loads.get(name) ?? 0) < maximumLoad)
            .slice(0, hostsPerZone);
        hosts.forEach(name => loads.set(name, (loads.get(name) ?? 0) + 1));
        yield [group, hosts];
    }
}
