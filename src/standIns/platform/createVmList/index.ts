import type { VmRecord } from "../../../objectStore/types/VmRecord.js";

/** A list of VMs that can be read as it was at an earlier time. */
interface VmList {
    set(records: readonly VmRecord[]): void;
    /** Returns the list as it was `lagMilliseconds` ago. */
    readLagging(lagMilliseconds: number): readonly VmRecord[];
}

/**
 * Creates the platform's list of VMs.
 *
 * @param initial The VMs at the start; the list contains them at every earlier time.
 * @param now Returns the time in milliseconds.
 * @returns The list.
 *
 * @example
 * const vms = createVmList([], () => performance.now());
 */
export function createVmList(initial: readonly VmRecord[], now: () => number): VmList {
    const states = [{ since: -Infinity, records: initial }];

    function set(records: readonly VmRecord[]): void {
        states.push({ since: now(), records });
    }

    function readLagging(lagMilliseconds: number): readonly VmRecord[] {
        const readAt = now() - lagMilliseconds;
        return states.findLast(state => state.since <= readAt)?.records ?? initial;
    }

    return { set, readLagging };
}
