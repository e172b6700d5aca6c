import { rankByRendezvous } from "../../ownership/rankByRendezvous/index.js";
import { forwardingConstants } from "../constants.js";
import type { CandidateVm } from "../types/CandidateVm.js";
import type { HostPool } from "../types/HostPool.js";

/** Key of the choice among VMs of equal capacity. */
const poolKey = "host pool";

/**
 * Chooses the VMs of one availability zone that hold connections to endpoints: all of a small zone, and the largest of
 * a large one.
 *
 * The VMs of the pool bear the load of the whole zone, so it holds a share of the zone's capacity. Every VM computes
 * the same result from the same list.
 *
 * @param vms The VMs of the zone that are alive, in any order.
 * @returns The chosen VMs.
 *
 * @example
 * const isHost = chooseHostPool(vmsOfZone).vms.some(vm => vm.name === self.name);
 */
export function chooseHostPool<Vm extends CandidateVm>(vms: readonly Vm[]): HostPool<Vm> {
    const { maximumSmallZoneVms, minimumPoolVms, poolCapacityShare } = forwardingConstants;
    if (vms.length <= maximumSmallZoneVms) {
        return { vms, isWholeZone: true };
    }
    const ranks = new Map(rankByRendezvous(poolKey, vms.map(({ name }) => name)).map((name, rank) => [name, rank]));
    const ordered = [...vms].sort((left, right) =>
        right.capacity - left.capacity || ranks.get(left.name)! - ranks.get(right.name)!
    );
    const neededCapacity = poolCapacityShare * vms.reduce((sum, { capacity }) => sum + capacity, 0);
    const pool: Vm[] = [];
    let poolCapacity = 0;
    for (const vm of ordered) {
        if (pool.length >= minimumPoolVms && poolCapacity >= neededCapacity) {
            break;
        }
        pool.push(vm);
        poolCapacity += vm.capacity;
    }
    return { vms: pool, isWholeZone: false };
}
