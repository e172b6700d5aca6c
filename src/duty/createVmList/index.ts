import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../constants.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** VMs that are alive, as known to the holder. */
interface VmList {
    /** Records contact with a VM, and whether that VM is in contact with the holder. */
    recordContact(vm: VmIdentity, hasHolderContact: boolean): void;
    /** VMs with recent contact. */
    list(): readonly VmIdentity[];
    /** Changes whenever the list changes. */
    version(): number;
    /** Replaces the list with one received from another VM. */
    replace(vms: readonly VmIdentity[], version: number): void;
    /** Renews the last contact of all VMs, because the holder still lists them. */
    refresh(): void;
    /** Whether all VMs that may still be alive, and at least two, had contact with the holder within this time. */
    isHolderInContactWithAll(milliseconds: number): boolean;
    /** Time of the last contact with a VM. */
    lastContactAt(name: string): number | undefined;
}

/** A VM and the times of its last contacts. */
interface ListedVm {
    readonly vm: VmIdentity;
    readonly lastContactAt: number;
    /** When the VM last reported contact with the holder. */
    readonly holderContactAt: number;
}

/**
 * Creates the list of VMs that are alive: those with recent contact.
 *
 * @param clock Source of time.
 * @returns The list, empty.
 *
 * @example
 * vms.recordContact(renewal.vm, true);
 */
export function createVmList(clock: Clock): VmList {
    const listed = new Map<string, ListedVm>();
    let version = 0;
    /** Number of VMs in the list that was returned last. */
    let liveCount = 0;

    function recordContact(vm: VmIdentity, hasHolderContact: boolean): void {
        const known = listed.get(vm.name);
        if (known?.vm.incarnation !== vm.incarnation) {
            version += 1;
        }
        const now = clock.now();
        listed.set(vm.name, {
            vm,
            lastContactAt: now,
            holderContactAt: hasHolderContact ? now : known?.holderContactAt ?? -Infinity,
        });
    }

    function list(): readonly VmIdentity[] {
        const now = clock.now();
        for (const [name, { lastContactAt }] of listed) {
            if (now - lastContactAt > dutyConstants.removalMilliseconds) {
                listed.delete(name);
            }
        }
        const live = [...listed.values()].filter(({ lastContactAt }) =>
            now - lastContactAt <= dutyConstants.contactTimeoutMilliseconds
        );
        if (live.length !== liveCount) {
            liveCount = live.length;
            version += 1;
        }
        return live.map(({ vm }) => vm);
    }

    function replace(vms: readonly VmIdentity[], nextVersion: number): void {
        listed.clear();
        vms.forEach(vm => listed.set(vm.name, { vm, lastContactAt: clock.now(), holderContactAt: -Infinity }));
        version = nextVersion;
        liveCount = vms.length;
    }

    function refresh(): void {
        for (const [name, entry] of listed) {
            listed.set(name, { ...entry, lastContactAt: clock.now() });
        }
    }

    function isHolderInContactWithAll(milliseconds: number): boolean {
        const now = clock.now();
        const contacts = [...listed.values()].map(({ holderContactAt: attendedAt }) => attendedAt);
        return contacts.length > 1 && contacts.every(contactAt => now - contactAt < milliseconds);
    }

    return {
        isHolderInContactWithAll,
        refresh,
        recordContact,
        list,
        version: () => version,
        replace,
        lastContactAt: (name: string) => listed.get(name)?.lastContactAt,
    };
}
