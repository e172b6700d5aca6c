import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { chooseHosts } from "../../forwarding/chooseHosts/index.js";
import { forwardingConstants } from "../../forwarding/constants.js";
import { directoryConstants } from "../constants.js";
import type { StoreNews } from "../types/StoreNews.js";
import type { WatchChoice } from "../types/WatchChoice.js";

/** Options of `createWatchChoice`. */
interface WatchChoiceOptions {
    /** This VM. */
    readonly self: Pick<VmIdentity, "name" | "address">;
    /** The other VMs that live. */
    readonly otherVms: () => readonly VmIdentity[];
    /** Whether this VM holds the failover duty: the others learn from it. */
    readonly isHolder: () => boolean;
    readonly news: Pick<StoreNews, "isFresh">;
}

/** Stands for the store in the choice of VMs, where groups of endpoints stand otherwise. */
const storeKey = "platform store";

/**
 * Creates the choice of the VMs that watch the store.
 *
 * It answers the load of many VMs on the store, each of whose calls costs: in a large zone a few VMs watch, and the
 * others learn what they see with the renewals of their leases. A VM that hears nothing recent watches itself.
 *
 * @param options This VM, the others and how recent its knowledge is.
 * @returns The choice.
 *
 * @example
 * const updates = followFeed(feed, { isNeeded: choice.isWatching, ...options });
 */
export function createWatchChoice(options: WatchChoiceOptions): WatchChoice {
    const { self, otherVms, isHolder, news } = options;

    function listNear(): readonly Pick<VmIdentity, "name" | "address">[] {
        const { availabilityZone } = self.address;
        return [self, ...otherVms().filter(vm => vm.address.availabilityZone === availabilityZone)];
    }

    function isChosen(): boolean {
        return chooseHosts([storeKey], listNear()).get(storeKey)!.has(self.name);
    }

    return {
        isWatching: () => !news.isFresh() || isHolder() || isChosen(),
        watchMilliseconds: () =>
            listNear().length > forwardingConstants.largestUnsharedZone
                ? directoryConstants.sharedWatchMilliseconds
                : directoryConstants.watchMilliseconds,
    };
}
