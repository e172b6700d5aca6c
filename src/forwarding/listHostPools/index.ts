import { chooseHostPool } from "../chooseHostPool/index.js";
import type { CandidateVm } from "../types/CandidateVm.js";
import type { HostPool } from "../types/HostPool.js";

/**
 * Lists the VMs of all availability zones that hold connections to endpoints.
 *
 * @param vms The VMs that are alive, in any order.
 * @returns The pools of hosts, by zone.
 *
 * @example
 * const pool = listHostPools(vms).get("zone-a");
 */
export function listHostPools<Vm extends CandidateVm>(vms: readonly Vm[]): ReadonlyMap<string, HostPool<Vm>> {
    const vmsByZone = new Map<string, Vm[]>();
    for (const vm of vms) {
        const { availabilityZone } = vm.address;
        const vmsOfZone = vmsByZone.get(availabilityZone);
        if (vmsOfZone === undefined) {
            vmsByZone.set(availabilityZone, [vm]);
        }
        else {
            vmsOfZone.push(vm);
        }
    }
    return new Map([...vmsByZone].map(([zone, vmsOfZone]) => [zone, chooseHostPool(vmsOfZone)]));
}
