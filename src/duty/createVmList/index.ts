import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../constants.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** The VMs that live, as the holder knows them. */
interface VmList {
    /** Notes that a VM spoke, and whether it hears the holder. */
    note(vm: VmIdentity, isAttending: boolean): void;
    /** VMs heard lately. */
    list(): readonly VmIdentity[];
    /** Changes with the list. */
    version(): number;
    /** Replaces the list by another VM's. */
    adopt(vms: readonly VmIdentity[], version: number): void;
    /** Notes that the holder still lists them all. */
    refresh(): void;
    /** Whether every VM that may still live, and at least two, heard the holder within the last milliseconds. */
    areAllAttending(milliseconds: number): boolean;
    /** When a VM spoke last. */
    heardAt(name: string): number | undefined;
}

/** A VM and when it spoke last. */
interface ListedVm {
    readonly vm: VmIdentity;
    readonly heardAt: number;
    /** When it said last that it hears the holder. */
    readonly attendedAt: number;
}

/**
 * Creates the list of VMs that live: those that spoke lately.
 *
 * @param clock Source of time.
 * @returns The list, empty.
 *
 * @example
 * vms.note(renewal.vm, true);
 */
export function createVmList(clock: Clock): VmList {
    const listed = new Map<string, ListedVm>();
    let version = 0;
    /** VMs in the list that was given out last. */
    let liveCount = 0;

    function note(vm: VmIdentity, isAttending: boolean): void {
        const known = listed.get(vm.name);
        if (known?.vm.incarnation !== vm.incarnation) {
            version += 1;
        }
        const now = clock.now();
        listed.set(vm.name, { vm, heardAt: now, attendedAt: isAttending ? now : known?.attendedAt ?? -Infinity });
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
        vms.forEach(vm => listed.set(vm.name, { vm, heardAt: clock.now(), attendedAt: -Infinity }));
        version = nextVersion;
        liveCount = vms.length;
    }

    function refresh(): void {
        for (const [name, entry] of listed) {
            listed.set(name, { ...entry, heardAt: clock.now() });
        }
    }

    function areAllAttending(milliseconds: number): boolean {
        const now = clock.now();
        const attended = [...listed.values()].map(({ attendedAt }) => attendedAt);
        return attended.length > 1 && attended.every(attendedAt => now - attendedAt < milliseconds);
    }

    return {
        areAllAttending,
        refresh,
        note,
        list,
        version: () => version,
        adopt,
        heardAt: (name: string) => listed.get(name)?.heardAt,
    };
}
