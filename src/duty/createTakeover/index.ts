import type { Clock } from "../../clock/types/Clock.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { dutyConstants } from "../constants.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { FleetView } from "../types/FleetView.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmPeer } from "../types/VmPeer.js";

/** Options of `createTakeover`. */
interface TakeoverOptions {
    readonly clock: Clock;
    readonly records: RecordStore;
    /** This VM. */
    readonly self: VmIdentity;
    readonly view: FleetView;
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    /** Ends the wait before an attempt. */
    readonly signal: AbortSignal;
    readonly log: LogTopic;
}

/** Result of an attempt to become the holder. */
interface TakeoverResult {
    /** The newest record of the holder; undefined when the record is missing or the holder stays. */
    readonly record?: VersionedRecord;
    /** Whether another VM is in contact with the holder, which stays. */
    readonly isHolderAlive?: boolean;
}

/**
 * Creates the attempt of a VM to become the holder of the failover duty.
 *
 * The record of the holder in the store is replaced at its revision, unless a VM that holds connections to endpoints is
 * in contact with the holder. Those VMs attempt it one after the other, so that they do not compete.
 *
 * @param options Clock, store, this VM and clients for calls to other VMs.
 * @returns Attempts to replace the given holder.
 *
 * @example
 * const { record } = await attemptTakeover(knownHolder);
 */
export function createTakeover(options: TakeoverOptions): (holder: DutyHolder) => Promise<TakeoverResult> {
    const { clock, records, self, view, log } = options;

    function rank(holder: DutyHolder): number {
        return view.hostVms().filter(({ name }) => name !== holder.name && name < self.name).length;
    }

    async function findVmInContact(holder: DutyHolder): Promise<string | undefined> {
        const others = view.hostVms().filter(({ name }) => name !== holder.name && name !== self.name);
        const inContact = await Promise.all(others.map(async vm => {
            const hasContact = await options.peerOf(vm).queryHolderContact(holder.token).catch(() => false);
            return hasContact ? vm.name : undefined;
        }));
        return inContact.find(name => name !== undefined);
    }

    return async holder => {
        await clock.sleep(rank(holder) * dutyConstants.rankDelayMilliseconds, options.signal);
        const record = await records.read(dutyConstants.recordName);
        if (record === undefined || (record.content as DutyHolder).token > holder.token) {
            return { record };
        }
        const vmInContact = holder.name === self.name ? undefined : await findVmInContact(holder);
        if (vmInContact !== undefined) {
            log("another VM is in contact with the holder; no takeover", { holder: holder.name, vm: vmInContact });
            return { isHolderAlive: true };
        }
        log("attempts to take over the failover duty", { from: holder.name, token: holder.token + 1 });
        return {
            record: await records.replace(
                dutyConstants.recordName,
                { ...self, token: holder.token + 1 },
                record.revision,
            ),
        };
    };
}
