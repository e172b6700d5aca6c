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
    /** Notes that the holder still lists them all. */
    refresh(): void;
    /** Whether every VM that may still live, and at least one, spoke within the last milliseconds. */
    areAllHeard(milliseconds: number): boolean;
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
    /** VMs in the list that was given out last. */
    let liveCount = 0;

    function note(vm: VmIdentity): void {
        if (listed.get(vm.name)?.vm.incarnation !== vm.incarnation) {
            version += 1;
        }
        listed.set(vm.name, { vm, heardAt: clock.now() });
    }

    function list(): readonly VmIdentity[] {
        const now = clock.now();
        for (const [name, { heardAt }] of listed) {
            if (now - heardAt > dutyConstants.departureMilliseconds) {
                listed.delete(name);
            }
        }
        const live = [...listed.values()].filter(({ heardAt }) => now - heardAt <= dutyConstants.forgetMilliseconds);
        if (live.length !== liveCount) {
            liveCount = live.length;
            version += 1;
        }
        return live.map(({ vm }) => vm);
    }

    function adopt(vms: readonly VmIdentity[], nextVersion: number): void {
        listed.clear();
        vms.forEach(vm => listed.set(vm.name, { vm, heardAt: clock.now() }));
        version = nextVersion;
        liveCount = vms.length;
    }

    function refresh(): void {
        for (const [name, { vm }] of listed) {
            listed.set(name, { vm, heardAt: clock.now() });
        }
    }

    function areAllHeard(milliseconds: number): boolean {
        const now = clock.now();
        const heard = [...listed.values()].map(({ heardAt }) => heardAt);
        return heard.length > 1 && heard.every(heardAt => now - heardAt < milliseconds);
    }

    return {
        areAllHeard,
        refresh,
        note,
        list,
        version: () => version,
        adopt,
        heardAt: (name: string) => listed.get(name)?.heardAt,
    };
}
