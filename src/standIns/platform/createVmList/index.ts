import type { VmRecord } from "../../../objectStore/types/VmRecord.js";

/** A list of VMs that shows what was true some time ago. */
interface VmList {
    set(records: readonly VmRecord[]): void;
    /** The list as it was that many milliseconds ago. */
    readLagging(lagMilliseconds: number): readonly VmRecord[];
}

/**
 * Creates the platform's list of VMs.
 *
 * @param initial The VMs at the start; they are shown at once.
 * @param now Reads the time in milliseconds.
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
        const shownTime = now() - lagMilliseconds;
        return states.findLast(state => state.since <= shownTime)?.records ?? initial;
    }

    return { set, readLagging };
}
