import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { Address } from "../../network/types/Address.js";
import type { Peers } from "../../transport/types/Peers.js";
import { createGroupTable } from "../createGroupTable/index.js";
import { createOwnerTable } from "../createOwnerTable/index.js";
import type { EntryTopology } from "../types/EntryTopology.js";
import type { ViewUpdate } from "../types/ViewUpdate.js";
import { watchView } from "../watchView/index.js";

/** Options of `createEntryTopology`. */
interface EntryTopologyOptions {
    readonly peers: Peers;
    readonly clock: Clock;
    readonly configuration: ConfigurationService;
    /** The local gateway first, then the gateways to use while the local one is unavailable. */
    readonly gateways: readonly Address[];
}

/**
 * Creates an entry's view of the fleet, received from its local gateway or, while that is unavailable, from another.
 *
 * @param options Peers, clock, configuration and the gateways to subscribe to.
 * @returns The topology service.
 *
 * @example
 * const topology = createEntryTopology({ peers, clock, configuration, gateways: [settings.localGateway] });
 */
export function createEntryTopology(options: EntryTopologyOptions): EntryTopology {
    const groups = createGroupTable();
    const stopping = new AbortController();
    let livePeers: readonly PeerRecord[] = [];
    let leaving: ReadonlySet<string> = new Set();
    const owners = createOwnerTable(options.configuration, () => livePeers);
    let following = Promise.resolve();

    function applyUpdate(update: ViewUpdate): void {
        if (update.peers !== undefined) {
            livePeers = update.peers;
            owners.clear();
        }
        if (update.leavingEndpoints !== undefined) {
            leaving = new Set(update.leavingEndpoints);
        }
        for (const group of update.groups) {
            groups.applyGroupRecord(group);
        }
    }

    async function runFollowLoop(): Promise<void> {
        for await (const update of watchView({ ...options, signal: stopping.signal })) {
            applyUpdate(update);
        }
    }

    async function start(): Promise<void> {
        following = runFollowLoop();
    }

    async function stop(): Promise<void> {
        stopping.abort();
        await following;
    }

    return {
        groupOf: groups.groupOf,
        applyGroupRecord: groups.applyGroupRecord,
        onChange: groups.onChange,
        waitForTerm: groups.waitForTerm,
        ownersOf: owners.ownersOf,
        isLeaving: endpoint => leaving.has(endpoint),
        countGateways: region => livePeers.filter(peer => peer.region === region).length,
        start,
        stop,
    };
}
