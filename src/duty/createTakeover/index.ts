import type { Clock } from "../../clock/types/Clock.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { dutyConstants } from "../constants.js";
import { notifyHosts } from "../notifyHosts/index.js";
import { toDutyHolder } from "../toDutyHolder/index.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { FleetView } from "../types/FleetView.js";
import { Predecessor } from "../types/Predecessor.js";
import type { RecordedHolder } from "../types/RecordedHolder.js";
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
    /** The holder by the newest record; undefined when the record is missing or the holder stays. */
    readonly holder?: DutyHolder;
    /** The holder that this VM has replaced. */
    readonly predecessor?: Predecessor;
    readonly isRecordMissing?: boolean;
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
 * const { holder } = await attemptTakeover(knownHolder);
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

    /** A record that was not written in this era is a copy, and may not be the last that there was. */
    function findPredecessor({ content, era }: VersionedRecord, replaced: VersionedRecord): Predecessor {
        const { name, writtenInEra } = content as RecordedHolder;
        return name === self.name && writtenInEra === era && replaced.era === era
            ? Predecessor.OwnFormerProcess
            : Predecessor.Unknown;
    }

    return async holder => {
        await clock.sleep(rank(holder) * dutyConstants.rankDelayMilliseconds, options.signal);
        const record = await records.read(dutyConstants.recordName);
        if (record === undefined) {
            return { isRecordMissing: true };
        }
        const recorded = toDutyHolder(record);
        if (recorded.token > holder.token) {
            if (recorded.incarnation === self.incarnation) {
                notifyHosts(recorded, options);
            }
            return { holder: recorded };
        }
        if (recorded.token < holder.token) {
            throw createError(ErrorKind.PlatformUnavailable, "The store answered from before it was restored.", {
                remedy: "Read the record again.",
            });
        }
        const vmInContact = holder.name === self.name ? undefined : await findVmInContact(holder);
        if (vmInContact !== undefined) {
            log("another VM is in contact with the holder; no takeover", { holder: holder.name, vm: vmInContact });
            return { isHolderAlive: true };
        }
        const { era, revision } = record;
        log("attempts to take over the failover duty", { from: holder.name, token: holder.token, era, revision });
        const content: RecordedHolder = { ...self, writtenInEra: era };
        const replaced = await records.replace(dutyConstants.recordName, content, revision);
        const newHolder = toDutyHolder(replaced);
        notifyHosts(newHolder, options);
        return { holder: newHolder, predecessor: findPredecessor(record, replaced) };
    };
}
