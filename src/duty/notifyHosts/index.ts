import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { FleetView } from "../types/FleetView.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmPeer } from "../types/VmPeer.js";

/** Options of `notifyHosts`. */
interface NotifyHostsOptions {
    /** This VM, which is not notified. */
    readonly self: VmIdentity;
    readonly view: Pick<FleetView, "hostVms">;
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    readonly log: LogTopic;
}

/**
 * Notifies the hosts of a new holder of the failover duty; the other VMs learn of it from their relays.
 *
 * @param holder The new holder.
 * @param options This VM, the known hosts, and clients for calls to other VMs.
 *
 * @example
 * notifyHosts(toDutyHolder(record), options);
 */
export function notifyHosts(holder: DutyHolder, { self, view, peerOf, log }: NotifyHostsOptions): void {
    for (const vm of view.hostVms().filter(({ name }) => name !== self.name)) {
        peerOf(vm).notifyOfHolder(holder).catch((error: unknown) => {
            log("VM could not be notified of the new holder", { vm: vm.name, reason: (error as Error).message });
        });
    }
}
