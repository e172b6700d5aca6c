import { rankByRendezvous } from "../../ownership/rankByRendezvous/index.js";
import { directoryConstants } from "../constants.js";
import type { StoreFreshness } from "../types/StoreFreshness.js";
import type { WatchPolicy } from "../types/WatchPolicy.js";

/** Options of `createWatchPolicy`. */
interface WatchPolicyOptions {
    /** Name of this VM. */
    readonly name: string;
    /** The VMs that hold connections to endpoints; the same array as long as they do not change. */
    readonly hostVms: () => readonly { readonly name: string; }[];
    /** Whether this VM holds the failover duty; the other VMs get their data from the holder. */
    readonly isHolder: () => boolean;
    /** Whether the holder or a relay answers this VM. */
    readonly isInContact: () => boolean;
    readonly freshness: Pick<StoreFreshness, "ageMilliseconds">;
    /** Time within which a configuration has to be in force on every VM, in milliseconds. */
    readonly configurationMilliseconds: number;
}

/** Key of the store in the choice of the VMs that watch it. */
const storeKey = "platform store";

/**
 * Creates the policy that decides whether this VM watches the store.
 *
 * The policy limits the load on the store, where each call is costly, whatever the size of the fleet: the holder of the
 * failover duty watches and one host as its standby, and the others receive the changes with their renewals. When the
 * data grows old, a few more hosts watch one after the other, since the store may refuse single VMs. A VM that no other
 * VM answers watches itself.
 *
 * @param options This VM, the hosts, and the freshness of this VM's data.
 * @returns The policy.
 *
 * @example
 * const updates = followFeed(feed, { isNeeded: watchPolicy.isWatching, ...options });
 */
export function createWatchPolicy(options: WatchPolicyOptions): WatchPolicy {
    const { name, freshness, configurationMilliseconds } = options;
    const { standbyWatchers, maximumWatchers, staleShare, watchShare, rankDelayMilliseconds } = directoryConstants;
    const staleMilliseconds = staleShare * configurationMilliseconds;
    let rankedVms: readonly { readonly name: string; }[] | undefined;
    let rank = Infinity;

    /** Position of this VM among the hosts that may watch; infinite when it is not a host or does not know them yet. */
    function currentRank(): number {
        const hostVms = options.hostVms();
        if (hostVms !== rankedVms) {
            const names = rankByRendezvous(storeKey, hostVms.map(vm => vm.name));
            rank = names.includes(name) ? names.indexOf(name) : Infinity;
            rankedVms = hostVms;
        }
        return rank;
    }

    function isWatching(): boolean {
        if (options.isHolder() || currentRank() < standbyWatchers) {
            return true;
        }
        const delay = Math.min(currentRank(), maximumWatchers) * rankDelayMilliseconds;
        const isStale = freshness.ageMilliseconds() > staleMilliseconds + delay;
        return isStale && (currentRank() < maximumWatchers || !options.isInContact());
    }

    return { isWatching, watchMilliseconds: () => Math.round(watchShare * configurationMilliseconds) };
}
