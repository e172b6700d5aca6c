import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../constants.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** The VMs that live, as the holder knows them. */
interface VmList {
    /** Notes that a VM spoke. */
    note(vm: VmIdentity): void;
    /** VMs heard lately. */
    list(): readonly VmIdentity[];
    /** Changes with the list. */
    version(): number;
    /** Replaces the list by another VM's. */
    adopt(vms: readonly VmIdentity[], version: number): void;
    /** When a VM spoke last. */
    heardAt(name: string): number | undefined;
}

/** A VM and when it spoke last. */
interface ListedVm {
    readonly vm: VmIdentity;
    readonly heardAt: number;
}

/**
 * Creates the list of VMs that live: those that spoke lately.
 *
 * @param clock Source of time.
 * @returns The list, empty.
 *
 * @example
 * vms.note(renewal.vm);
 */
export function createVmList(clock: Clock): VmList {
    const listed = new Map<string, ListedVm>();
    let version = 0;

    function note(vm: VmIdentity): void {
        if (listed.get(vm.name)?.vm.incarnation !== vm.incarnation) {
            version += 1;
        }
        listed.set(vm.name, { vm, heardAt: clock.now() });
    }

    function list(): readonly VmIdentity[] {
        const oldest = clock.now() - dutyConstants.forgetMilliseconds;
        for (const [name, { heardAt }] of listed) {
            if (heardAt < oldest) {
                listed.delete(name);
                version += 1;
            }
        }
        return [...listed.values()].map(({ vm }) => vm);
    }

    function adopt(vms: readonly VmIdentity[], nextVersion: number): void {
        listed.clear();
        vms.forEach(vm => listed.set(vm.name, { vm, heardAt: clock.now() }));
        version = nextVersion;
    }

    return { note, list, version: () => version, adopt, heardAt: name => listed.get(name)?.heardAt };
}
