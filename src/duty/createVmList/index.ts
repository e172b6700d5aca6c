import type { Clock } from "../../clock/types/Clock.js";
import { chooseHigherNumber } from "../chooseHigherNumber/index.js";
import { compareHolderNumbers } from "../compareHolderNumbers/index.js";
import { dutyConstants } from "../constants.js";
import type { HolderNumber } from "../types/HolderNumber.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmList } from "../types/VmList.js";
import type { VmListUpdate } from "../types/VmListUpdate.js";

/** A VM that is alive, or was alive recently. */
interface ListedVm {
    readonly vm: VmIdentity;
    isLive: boolean;
    /** Version of the list at which the VM, or whether it is alive, changed last. */
    changedVersion: HolderNumber;
    /** When the VM last called this one. */
    contactAt: number | undefined;
    /** When this VM last learned that the VM is alive. */
    seenAt: number;
    /** When the VM last reported contact with the holder. */
    holderContactAt: number;
}

/**
 * Creates the list of VMs that are alive: those with recent contact.
 *
 * The holder of the failover duty numbers the changes of the list, so that others receive only what they lack. The
 * numbers of a holder with a higher token are higher.
 *
 * @param clock Source of time.
 * @returns The list, empty.
 *
 * @example
 * vms.recordContact(renewal.vm, true);
 */
export function createVmList(clock: Clock): VmList {
    const listed = new Map<string, ListedVm>();
    /** Members that each relay reported last. */
    const membersByRelay = new Map<string, readonly VmIdentity[]>();
    let version: HolderNumber = dutyConstants.noHolderNumber;
    /** Changes up to this version cannot be told apart, so a VM with an older version gets the whole list. */
    let snapshotVersion: HolderNumber = dutyConstants.noHolderNumber;
    let refreshedAt = -Infinity;
    let live: readonly VmIdentity[] = [];
    /** Time up to which no VM of `live` can have become silent for too long. */
    let liveUntil = -Infinity;

    function seenAt(entry: ListedVm): number {
        return entry.isLive ? Math.max(entry.seenAt, refreshedAt) : entry.seenAt;
    }

    /** Assigns the next version to a change. */
    function nextVersion(): HolderNumber {
        version = { ...version, count: version.count + 1 };
        return version;
    }

    function markChanged(entry: ListedVm, isLive: boolean, changedVersion: HolderNumber): void {
        entry.seenAt = seenAt(entry);
        entry.isLive = isLive;
        entry.changedVersion = changedVersion;
        liveUntil = -Infinity;
    }

    /** Returns the entry of a VM that is alive now; a new one when the VM is new, has restarted or was silent. */
    function touch(vm: VmIdentity): ListedVm {
        let entry = listed.get(vm.name);
        if (entry?.vm.incarnation !== vm.incarnation || !isSameAddress(entry.vm, vm)) {
            entry = {
                vm,
                isLive: false,
                changedVersion: dutyConstants.noHolderNumber,
                contactAt: undefined,
                seenAt: clock.now(),
                holderContactAt: -Infinity,
            };
            listed.set(vm.name, entry);
        }
        if (!entry.isLive) {
            markChanged(entry, true, nextVersion());
        }
        entry.seenAt = clock.now();
        return entry;
    }

    function recordContact(vm: VmIdentity, hasHolderContact: boolean): void {
        const entry = touch(vm);
        entry.contactAt = clock.now();
        if (hasHolderContact) {
            entry.holderContactAt = clock.now();
        }
    }

    function recordMembers(relayName: string, members: readonly VmIdentity[] | undefined): void {
        if (members !== undefined) {
            membersByRelay.set(relayName, members);
        }
        for (const member of membersByRelay.get(relayName) ?? []) {
            if (!isSuperseded(member)) {
                touch(member).holderContactAt = clock.now();
            }
        }
    }

    /** Whether a restarted process of the reported VM has called since: the relay's report is older. */
    function isSuperseded(member: VmIdentity): boolean {
        const entry = listed.get(member.name);
        return entry !== undefined
            && entry.vm.incarnation !== member.incarnation
            && clock.now() - (entry.contactAt ?? -Infinity) < dutyConstants.contactTimeoutMilliseconds;
    }

    function remove(name: string): void {
        const entry = listed.get(name);
        membersByRelay.delete(name);
        if (entry?.isLive === true) {
            markChanged(entry, false, nextVersion());
            // A VM that is stopping never becomes the holder.
            entry.holderContactAt = Infinity;
        }
    }

    function list(): readonly VmIdentity[] {
        const now = clock.now();
        if (now <= liveUntil) {
            return live;
        }
        const { contactTimeoutMilliseconds, removalMilliseconds } = dutyConstants;
        for (const [name, entry] of listed) {
            const silence = now - seenAt(entry);
            if (silence > removalMilliseconds) {
                listed.delete(name);
                snapshotVersion = chooseHigherNumber(snapshotVersion, entry.changedVersion);
            }
            else if (entry.isLive && silence > contactTimeoutMilliseconds) {
                markChanged(entry, false, nextVersion());
            }
        }
        const liveEntries = [...listed.values()].filter(({ isLive }) => isLive);
        live = liveEntries.map(({ vm }) => vm);
        liveUntil = Math.min(...liveEntries.map(seenAt), now) + contactTimeoutMilliseconds;
        return live;
    }

    function createUpdate(knownVersion: HolderNumber, availabilityZone?: string): VmListUpdate | undefined {
        list();
        if (compareHolderNumbers(knownVersion, version) >= 0) {
            return undefined;
        }
        const isSnapshot = compareHolderNumbers(knownVersion, snapshotVersion) < 0;
        const changed = [...listed.values()].filter(({ vm, changedVersion }) =>
            (isSnapshot || compareHolderNumbers(changedVersion, knownVersion) > 0)
            && (availabilityZone === undefined || vm.address.availabilityZone === availabilityZone)
        );
        return {
            version,
            isSnapshot,
            vms: changed.filter(({ isLive }) => isLive).map(({ vm }) => vm),
            removedNames: isSnapshot ? [] : changed.filter(({ isLive }) => !isLive).map(({ vm }) => vm.name),
        };
    }

    function applyUpdate(update: VmListUpdate): boolean {
        if (compareHolderNumbers(update.version, version) < 0) {
            return false;
        }
        const names = new Set(update.vms.map(({ name }) => name));
        const removed = update.isSnapshot
            ? [...listed.keys()].filter(name => !names.has(name))
            : update.removedNames;
        for (const name of removed) {
            const entry = listed.get(name);
            if (entry?.isLive === true) {
                markChanged(entry, false, update.version);
            }
        }
        for (const vm of update.vms) {
            markChanged(touch(vm), true, update.version);
        }
        version = update.version;
        if (update.isSnapshot) {
            snapshotVersion = update.version;
        }
        return true;
    }

    function isHolderInContactWithAll(milliseconds: number): boolean {
        const now = clock.now();
        return listed.size > 1
            && [...listed.values()].every(({ holderContactAt }) => now - holderContactAt < milliseconds);
    }

    return {
        startToken: token => {
            version = chooseHigherNumber(version, { token, count: 0 });
            snapshotVersion = version;
        },
        recordContact,
        recordMembers,
        remove,
        list,
        version: () => version,
        isKnown: () => compareHolderNumbers(version, dutyConstants.noHolderNumber) > 0,
        createUpdate,
        applyUpdate,
        refresh: () => {
            refreshedAt = clock.now();
        },
        isHolderInContactWithAll,
        lastContactAt: name => listed.get(name)?.contactAt,
    };
}

function isSameAddress({ address: left }: VmIdentity, { address: right }: VmIdentity): boolean {
    return left.host === right.host && left.port === right.port;
}
