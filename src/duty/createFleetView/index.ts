import { listHostPools } from "../../forwarding/listHostPools/index.js";
import { rankByRendezvous } from "../../ownership/rankByRendezvous/index.js";
import type { FleetView } from "../types/FleetView.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmList } from "../types/VmList.js";

/** What follows from one state of the list of VMs. */
interface Snapshot {
    readonly list: readonly VmIdentity[];
    readonly otherVms: readonly VmIdentity[];
    readonly hostVms: readonly VmIdentity[];
    readonly relays: readonly VmIdentity[];
    readonly isHost: boolean;
}

/**
 * Creates a VM's view of the fleet: which VMs hold connections to endpoints, whether this VM does, and which VMs of its
 * zone relay its renewals. It is computed again only when the list of VMs has changed.
 *
 * @param self This VM.
 * @param vms The list of VMs.
 * @returns The view.
 *
 * @example
 * const target = view.isHost() ? holder : view.relays()[0] ?? holder;
 */
export function createFleetView(self: VmIdentity, vms: Pick<VmList, "list">): FleetView {
    let snapshot: Snapshot | undefined;

    function currentSnapshot(): Snapshot {
        const list = vms.list();
        if (snapshot?.list !== list) {
            snapshot = createSnapshot(list);
        }
        return snapshot;
    }

    function createSnapshot(list: readonly VmIdentity[]): Snapshot {
        const otherVms = list.filter(({ name }) => name !== self.name);
        const pools = listHostPools([self, ...otherVms]);
        const hostVms = [...pools.values()].flatMap(pool => pool.vms);
        const relaysByName = new Map(
            pools.get(self.address.availabilityZone)!.vms
                .filter(vm => vm !== self)
                .map(vm => [vm.name, vm]),
        );
        return {
            list,
            otherVms,
            hostVms,
            // Each VM ranks the relays in its own order, so that they share the VMs of the zone.
            relays: rankByRendezvous(self.name, [...relaysByName.keys()]).map(name => relaysByName.get(name)!),
            isHost: hostVms.includes(self),
        };
    }

    return {
        otherVms: () => currentSnapshot().otherVms,
        hostVms: () => currentSnapshot().hostVms,
        relays: () => currentSnapshot().relays,
        isHost: () => currentSnapshot().isHost,
    };
}
