import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { createAnnouncements } from "../createAnnouncements/index.js";
import type { Duty } from "../types/Duty.js";
import type { FleetView } from "../types/FleetView.js";
import type { GrantedLeases } from "../types/GrantedLeases.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmPeer } from "../types/VmPeer.js";

/** Options of `createAnnouncementDelivery`. */
interface AnnouncementDeliveryOptions {
    readonly clock: Clock;
    readonly announcements: ReturnType<typeof createAnnouncements>;
    readonly leases: GrantedLeases;
    readonly view: Pick<FleetView, "otherVms">;
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    /** Token of this VM while it is the holder. */
    readonly heldToken: () => number | undefined;
    readonly log: LogTopic;
}

/**
 * Creates the delivery of the holder's announcements to the VMs that may have a lease. A VM without one relies on no
 * known primary, and learns of the change with its next renewal.
 *
 * @param options Clock, announcements, granted leases, and clients for calls to other VMs.
 * @returns Sends announcements, and waits for the leases of VMs that did not confirm one.
 *
 * @example
 * await delivery.waitForLeases(await delivery.announce({ group, phase: AnnouncementPhase.Begun, term }, token));
 */
export function createAnnouncementDelivery(
    options: AnnouncementDeliveryOptions,
): Pick<Duty, "announce" | "waitForFormerOrders" | "waitForLeases"> {
    const { clock, announcements, leases, log } = options;

    return {
        announce: async (announcement, token) => {
            if (options.heldToken() !== token) {
                throw createError(
                    ErrorKind.Conflict,
                    `This VM no longer holds the failover duty with token ${token}.`,
                    {
                        remedy: "The new holder decides which endpoint is the primary.",
                    },
                );
            }
            const numbered = announcements.create(announcement);
            const recipients = leases.listPossibleVms(options.view.otherVms());
            const confirmed = await Promise.all(recipients.map(async vm => {
                try {
                    await options.peerOf(vm).announce(numbered);
                    return true;
                }
                catch (error) {
                    log("announcement was not confirmed", { vm: vm.name, reason: (error as Error).message });
                    return false;
                }
            }));
            return recipients.filter((_vm, index) => !confirmed[index]);
        },
        waitForFormerOrders: () => clock.sleep(Math.max(leases.endOfFormerOrders() - clock.now(), 0)),
        waitForLeases: async unconfirmed => {
            const milliseconds = leases.endOfLeases(unconfirmed) - clock.now();
            if (milliseconds > 0) {
                log("waits for leases to end", { vms: unconfirmed.map(({ name }) => name), milliseconds });
                await clock.sleep(milliseconds);
            }
        },
    };
}
