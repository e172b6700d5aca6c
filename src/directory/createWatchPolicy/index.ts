import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { chooseHosts } from "../../forwarding/chooseHosts/index.js";
import { forwardingConstants } from "../../forwarding/constants.js";
import { directoryConstants } from "../constants.js";
import type { StoreFreshness } from "../types/StoreFreshness.js";
import type { WatchPolicy } from "../types/WatchPolicy.js";

/** Options of `createWatchPolicy`. */
interface WatchPolicyOptions {
    /** This VM. */
    readonly self: Pick<VmIdentity, "name" | "address">;
    /** Returns the other VMs that are alive. */
    readonly otherVms: () => readonly VmIdentity[];
    /** Whether this VM holds the failover duty; the other VMs get their data from the holder. */
    readonly isHolder: () => boolean;
    readonly freshness: Pick<StoreFreshness, "isFresh">;
}

/** Key of the store in the choice of hosts, which otherwise is made for groups of endpoints. */
const storeKey = "platform store";

/**
 * Creates the policy that decides whether this VM watches the store.
 *
 * The policy limits the load on the store, where each call is costly: in a large availability zone a few VMs watch, and
 * the others receive the changes with the renewals of their leases. A VM whose data is no longer fresh watches itself.
 *
 * @param options This VM, the other VMs, and the freshness of this VM's data.
 * @returns The policy.
 *
 * @example
 * const updates = followFeed(feed, { isNeeded: watchPolicy.isWatching, ...options });
 */
export function createWatchPolicy(options: WatchPolicyOptions): WatchPolicy {
    const { self, otherVms, isHolder, freshness } = options;

    function listVmsInZone(): readonly Pick<VmIdentity, "name" | "address">[] {
        const { availabilityZone } = self.address;
        return [self, ...otherVms().filter(vm => vm.address.availabilityZone === availabilityZone)];
    }

    function isChosen(): boolean {
        return chooseHosts([storeKey], listVmsInZone()).get(storeKey)!.has(self.name);
    }

    return {
        isWatching: () => !freshness.isFresh() || isHolder() || isChosen(),
        watchMilliseconds: () =>
            listVmsInZone().length > forwardingConstants.maximumSmallZoneVms
                ? directoryConstants.sharedWatchMilliseconds
                : directoryConstants.watchMilliseconds,
    };
}
